"""The ``godwitshunt-control`` program."""

import asyncio
import sys
from pathlib import Path

import defopt

from godwitshunt.claims import ClaimsTask
from godwitshunt.configuration import (
    ConfigurationService,
    VmRole,
)
from godwitshunt.configuration.cluster import Cluster
from godwitshunt.configuration.operator_api import OperatorApi
from godwitshunt.consensus import (
    ConsensusOptions,
    ConsensusTask,
    DiskFileSystem,
)
from godwitshunt.consensus.healer import Healer
from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.exchange.gateway import caller_context
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.manifest.documents import read_settings
from godwitshunt.placement import PlacementApi, PlacementTask
from godwitshunt.programs.start import make_links, start_listening, vm_record
from godwitshunt.registry import RegistryService
from godwitshunt.settings import Address, ControlSettings
from godwitshunt.telemetry import Metrics, log_change, open_log
from godwitshunt.timer import TimerService, stop_on_signals

WRONG_INPUT = 2


class ControlProcess:
    """Every part of a control replica, wired together."""

    def __init__(self, settings: ControlSettings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.timer = TimerService()
        self.links = make_links(settings, self.metrics)
        self.consensus = ConsensusTask.from_config(
            ConsensusOptions.from_settings(settings),
            DiskFileSystem(settings.data_folder),
            self.links,
            self.timer,
            self.metrics,
        )
        self.claims = ClaimsTask.from_config(
            settings,
            self.links,
            self.timer,
            self.metrics,
        )
        self.service = ConfigurationService.from_config(
            settings,
            vm_record(settings, VmRole.control, self.claims.session),
            self.consensus,
            self.links,
            self.timer,
            self.metrics,
        )
        self.api = OperatorApi(
            self.service,
            settings.operator_token_sha256,
            Cluster(self.consensus, settings.control, settings.peer_reached),
        )
        self.placement = PlacementTask.from_config(
            settings,
            self.service,
            self.links,
            self.timer,
            self.metrics,
        )
        orders = PlacementApi(self.placement)
        self.api.add_route('POST', '/v1/orders', orders.order)
        self.api.add_status(self.placement.describe)
        self.registry = RegistryService.from_config(
            self.links,
            self.timer,
            self.metrics,
        )
        self.healer = Healer(
            self.consensus,
            self.known_control,
            self.links,
            self.timer,
        )
        self.listener = Listener(
            ListenerOptions(
                settings.http,
                settings.limits,
                caller_context(settings.tls),
            ),
            self.metrics,
            self.api.serve,
        )

    def follow_control(self, control: tuple[Address, ...]) -> None:
        """Know other control replicas from now on, as settings name them."""
        self.service.follow_control(control)

    def known_control(self) -> tuple[Address, ...]:
        """Return the peer addresses of control VMs that are known."""
        members = [one.address for one in self.consensus.members()]
        named = (*self.service.others, *members)
        return tuple(dict.fromkeys(named))

    async def start(self) -> None:
        """Start every part, the listener for operators last."""
        await start_listening(self.links.start, 'peer', self.settings.peer)
        self.service.subscribe(self.claims.apply_revision)
        await self.claims.start()
        self.service.start()
        await self.consensus.start()
        self.placement.start()
        self.api.start()
        self.registry.start()
        if self.settings.heals:
            self.healer.start()
        await start_listening(self.listener.start, 'http', self.settings.http)
        log_change('control:started', name=self.settings.name)

    async def close(self) -> None:
        """Answer what is under way, then close every part."""
        await self.listener.close()
        await self.healer.close()
        await self.registry.close()
        await self.placement.close()
        await self.service.close()
        await self.claims.close()
        await self.consensus.close()
        await self.links.close()
        self.timer.close()
        log_change('control:closed', name=self.settings.name)


async def run(settings: ControlSettings) -> int:
    """Run until SIGTERM or SIGINT, or until the replica has failed.

    A replica whose disk failed takes part no more. Going on would look alive
    to whoever watches over the process, while one more loss ends the quorum.

    Returns
    -------
    int
        0 after a graceful shutdown, 1 where the replica failed.
    """
    stop = asyncio.Event()
    stop_on_signals(stop)
    process = ControlProcess(settings)
    await process.start()
    failed = process.consensus.failed
    ends = [asyncio.create_task(each.wait()) for each in (stop, failed)]
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    for end in ends:
        end.cancel()
    await process.close()
    return int(failed.is_set())


def control(settings: Path) -> None:
    """Run a control replica of a godwitshunt deployment.

    A control replica keeps the deployment's configuration in a log that is
    replicated over three or five VMs, takes manifests from operators, and
    tells every entry VM what is in force. It runs until SIGTERM, answers what
    is under way then, and exits with 0; with 1 where its disk failed; with 2
    where the settings, the cluster key, an address or the data folder cannot
    be used.

    :param settings: JSON file with this replica's settings.
    """
    try:
        checked = read_settings(settings, ControlSettings)
        open_log(checked.log.path)
        sys.exit(asyncio.run(run(checked)))
    except GodwitshuntError as wrong:
        print(f'godwitshunt-control: {wrong}', file=sys.stderr)
        sys.exit(WRONG_INPUT)


def main() -> None:
    """Run the command line."""
    defopt.run(control)


if __name__ == '__main__':
    main()
