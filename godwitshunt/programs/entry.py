"""``godwitshunt-entry``: the process of an entry VM."""

import asyncio
import gc
import sys
from pathlib import Path
from random import Random

import defopt

from godwitshunt.claims import ClaimsTask
from godwitshunt.configuration import (
    ConfigurationTask,
    Revision,
    VmRole,
)
from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.exchange.gateway import ExchangeTask
from godwitshunt.exchange.ports import ChoosePort, Ports
from godwitshunt.manifest.documents import read_settings
from godwitshunt.membership import MembershipTask
from godwitshunt.placement import PlacementReporter
from godwitshunt.programs.entry_ports import (
    ClaimsAdapter,
    ConfigurationAdapter,
    DirectoryAdapter,
    LimitsAdapter,
    MembershipAdapter,
    RetriesAdapter,
)
from godwitshunt.programs.start import (
    make_links,
    read_cluster_key,
    start_listening,
    vm_record,
)
from godwitshunt.routing import AdmissionQueue, RetryBudget
from godwitshunt.routing.limits_task import LimitsTask
from godwitshunt.routing.router import Router
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics, log_change, open_log
from godwitshunt.timer import TimerService, stop_on_signals

WRONG_INPUT = 2


class EntryProcess:
    """All parts of an entry VM's process.

    Parameters
    ----------
    settings : EntrySettings
        The settings file.
    decide : callable or None
        Another routing decision, for measurements; None uses the router.
    """

    def __init__(
        self,
        settings: EntrySettings,
        decide: ChoosePort | None = None,
    ) -> None:
        self.settings = settings
        self.timer = TimerService()
        self.metrics = Metrics()
        self.stopping = asyncio.Event()
        self.links = make_links(settings, self.metrics)
        parts = (settings, self.links, self.timer, self.metrics)
        self.claims = ClaimsTask.from_config(*parts)
        self.membership = MembershipTask.from_config(*parts)
        self.limits = LimitsTask.from_config(*parts)
        self.configuration = ConfigurationTask.from_config(
            settings,
            vm_record(settings, VmRole.entry, self.claims.session),
            self.links,
            self.timer,
            self.metrics,
        )
        self.reporter = PlacementReporter.from_config(
            settings,
            self.configuration,
            lambda: self.membership.table.views(self.timer.now()),
            self.links,
            self.timer,
        )
        self.retries = RetriesAdapter(RetryBudget.from_config(0))
        self.router = Router.from_config(self.timer)
        self.queue = AdmissionQueue.from_config((), Random())
        self.exchange = ExchangeTask.from_config(
            settings,
            read_cluster_key(settings),
            self.make_ports(decide or self.router.choose),
            self.metrics,
        )

    def make_ports(self, decide: ChoosePort) -> Ports:
        """Return the other slices as the exchange's ports."""
        directory = DirectoryAdapter(
            self.settings.region,
            self.configuration,
            self.membership,
        )
        return Ports(
            configuration=ConfigurationAdapter(self.configuration),
            membership=MembershipAdapter(self.membership, self.configuration),
            claims=ClaimsAdapter(self.claims),
            limits=LimitsAdapter(self.limits),
            retries=self.retries,
            choose=decide,
            entries=directory.entries,
            timer=self.timer,
            queue=self.queue,
            record_outcome=self.router.record_outcome,
            record_abandoned=self.router.record_abandoned,
        )

    def apply_revision(self, revision: Revision) -> None:
        """Tell every part of a newer revision."""
        self.membership.apply_revision(revision)
        self.claims.apply_revision(revision)
        self.limits.configure(revision)
        self.retries.apply_revision(revision)
        self.queue.configure(revision.manifest.classes)
        self.router.ramp.vms = sum(
            vm.region == self.settings.region and vm.role is VmRole.entry
            for vm in revision.vms
        )

    async def start(self) -> None:
        """Start every part, the callers' listener last."""
        self.configuration.subscribe(self.apply_revision)
        await start_listening(self.links.start, 'peer', self.settings.peer)
        await self.membership.start()
        await self.claims.start()
        await self.limits.start()
        self.configuration.start()
        self.reporter.start()
        await start_listening(self.exchange.start, 'http', self.settings.http)
        # What lives as long as the process is not searched again at each
        # collection, which would stop every stream for milliseconds.
        gc.freeze()
        log_change('entry:started', vm=self.settings.name)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is in progress."""
        stop_on_signals(self.stopping)
        await self.start()
        await self.stopping.wait()
        log_change('entry:draining', vm=self.settings.name)
        await self.close()
        log_change('entry:stopped', vm=self.settings.name)

    async def close(self) -> None:
        """Finish every request, then close every part.

        The exchange goes first: calls in progress still need their claims
        settled and the configuration's news.
        """
        self.membership.announce_draining()
        try:
            async with asyncio.timeout(self.settings.drain_limit_s):
                await self.exchange.close()
        except TimeoutError:
            log_change('entry:drain_cut', vm=self.settings.name)
        await self.reporter.close()
        await self.configuration.close()
        await self.limits.close()
        await self.claims.close()
        await self.membership.close()
        await self.links.close()
        self.timer.close()


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry process to its end."""
    await EntryProcess(settings).run()


def entry(settings: Path) -> int:
    """Run the process of an entry VM.

    It takes callers' requests and upstreams' announcements. SIGTERM lets it
    finish every request in progress and end.

    Parameters
    ----------
    settings : Path
        The settings file, in JSON; docs/operators/settings.md tells each field.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 for wrong settings.
    """
    try:
        loaded = read_settings(settings, EntrySettings)
        open_log(loaded.log.path)
        asyncio.run(run_entry(loaded))
    except GodwitshuntError as wrong:
        print(wrong, file=sys.stderr)
        return WRONG_INPUT
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))


if __name__ == '__main__':
    main()
