"""Every part of a control VM's process, wired together."""

import gc

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
from godwitshunt.exchange.caller_tls import caller_context
from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.picking.service import PickerService
from godwitshunt.placement import PlacementApi, PlacementTask
from godwitshunt.programs.start import make_links, start_listening, vm_record
from godwitshunt.registry import RegistryService
from godwitshunt.registry.quarantine_api import QuarantineApi
from godwitshunt.registry.table_updates import ControlLocation
from godwitshunt.settings import Address, ControlSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import TimerService


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
            Cluster(self.consensus, settings.control, settings.peer_endpoint),
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
            ControlLocation(
                settings.peer_endpoint,
                settings.region,
                settings.domains,
                self.known_control,
                self.disks_to_lose,
            ),
            self.links,
            self.timer,
            self.metrics,
            settings,
        )
        kept_back = QuarantineApi(self.registry.quarantine)
        self.api.add_route('GET', '/v1/quarantine', kept_back.show)
        self.api.add_route('POST', '/v1/quarantine/release', kept_back.release)
        self.picker = PickerService.from_config(
            self.registry,
            self.service.newest_revision,
            settings.bounds,
            self.links,
            self.timer,
            self.metrics,
            settings.scheduling,
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

    def set_control_addresses(self, control: tuple[Address, ...]) -> None:
        """Know other control replicas from now on, as settings name them."""
        self.service.set_control_addresses(control)

    def known_control(self) -> tuple[Address, ...]:
        """Return the peer addresses of control VMs that are known."""
        members = [one.address for one in self.consensus.members()]
        named = (*self.service.others, *members)
        return tuple(dict.fromkeys(named))

    def disks_to_lose(self) -> int:
        """Return how many disks of voters may be lost at once.

        A replica that is not let in yet doesn't know the voters; where others
        are known, one disk is not enough.
        """
        voters = sum(one.voter for one in self.consensus.members())
        if voters:
            return (voters - 1) // 2
        return min(1, len(self.service.others))

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
        self.picker.start()
        if self.settings.heals:
            self.healer.start()
        await start_listening(self.listener.start, 'http', self.settings.http)
        # What lives as long as the process is not searched again at each
        # collection: 54,200 objects take 7 ms, in which no entry VM gets an
        # answer.
        gc.freeze()
        log_change('control:started', name=self.settings.name)

    async def close(self) -> None:
        """Answer what is under way, then close every part."""
        await self.listener.close()
        await self.healer.close()
        self.api.close()
        self.picker.close()
        await self.registry.close()
        await self.placement.close()
        await self.service.close()
        await self.claims.close()
        await self.consensus.close()
        await self.links.close()
        self.timer.close()
        log_change('control:closed', name=self.settings.name)
