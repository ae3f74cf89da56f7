"""All parts of an entry VM that serves routes, wired together."""

import asyncio
import gc
import secrets

from godwitshunt.configuration import (
    ConfigurationTask,
    VmRole,
)
from godwitshunt.configuration.poll_order import all_control_addresses
from godwitshunt.configuration.revision import Revision
from godwitshunt.configuration.task import UnlistedStart
from godwitshunt.ingress import HeaderNames, IngressTask
from godwitshunt.picking.client import PickerClient
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.reports import ReportBuilder
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.programs.start import (
    make_links,
    read_cluster_key,
    start_listening,
    vm_record,
)
from godwitshunt.registry import EntryRecord, OwnState, RegistryWatch
from godwitshunt.settings import Address, IngressSettings
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import TimerService, stop_on_signals

SESSION_BYTES = 8
# New objects after which the youngest are collected. By default it is 700, and
# each request allocates several times as many, few of them in cycles.
COLLECT_AFTER = 10_000


class IngressProcess:
    """All parts of an entry VM that serves routes.

    Parameters
    ----------
    settings : IngressSettings
        The settings file.
    names : HeaderNames
        Headers that callers and upstreams speak.
    """

    def __init__(
        self,
        settings: IngressSettings,
        names: HeaderNames | None = None,
    ) -> None:
        self.settings = settings
        self.timer = TimerService()
        self.metrics = Metrics()
        self.stopping = asyncio.Event()
        self.is_told = False
        self.links = make_links(settings, self.metrics)
        self.session = secrets.token_hex(SESSION_BYTES)
        self.configuration = ConfigurationTask.from_config(
            settings,
            vm_record(settings, VmRole.entry, ''),
            self.links,
            self.timer,
            self.metrics,
            UnlistedStart(),
        )
        self.control_of: tuple[Revision | None, tuple[Address, ...]] = (
            None,
            settings.control,
        )
        self.known: tuple[Address, ...] = settings.control
        self.watch = RegistryWatch(
            settings.region,
            settings.domains,
            self.control,
            self.own_state,
            self.links,
            self.timer,
            self.metrics,
        )
        self.watch.quarantine.length_s = settings.bounds.quarantine_s
        self.reports = ReportBuilder(
            self.session,
            Upstreams(),
            self.watch.own_prefixes,
            self.timer.now,
            suspects=self.watch.quarantine.own,
        )
        self.picker = PickerClient(
            Neighbours(settings.name, settings.region, settings.failure_domain),
            self.reports,
            self.watch,
            self.links,
            self.timer,
            self.metrics,
        )
        self.ingress = IngressTask.from_config(
            settings,
            read_cluster_key(settings),
            names or HeaderNames(),
            self.watch,
            self.picker,
            self.timer,
            self.metrics,
        )

        quarantine = self.watch.quarantine
        quarantine.name = f'{settings.region}/{settings.name}'
        quarantine.on_observed = self.report_losses
        authorizer = self.ingress.context.authorizer
        authorizer.age_s = self.configuration.quorum_age_s
        authorizer.renew = self.configuration.poll_now

    def control(self) -> tuple[Address, ...]:
        """Return the peer addresses of the control VMs that are known.

        Asked for with each request; the list of VMs is gone through only
        where a revision or the settings changed it.
        """
        configuration = self.configuration
        of = (configuration.current, configuration.control)
        if of != self.control_of:
            self.control_of = of
            self.known = all_control_addresses(*of)
        return self.known

    def accepting(self) -> tuple[EntryRecord, ...]:
        """Return the entry VMs that take requests of callers.

        This VM knows of itself first, and is told of the others by control.
        """
        told = self.watch.view().entries.values()
        own = self.own_record()
        known = [one for one in told if one.name != own.name]
        return tuple(one for one in (own, *known) if one.accepting)

    def own_state(self) -> OwnState:
        """Return what this VM tells control of itself."""
        return OwnState(self.own_record(), self.reports.make)

    def own_record(self) -> EntryRecord:
        """Return this VM as others know it."""
        return EntryRecord(
            name=self.settings.name,
            session=self.session,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            http=self.settings.http_endpoint,
            hop=self.settings.hop,
            accepting=self.ingress.accepting,
            reaches_upstreams=not self.ingress.context.path_monitor.are_lost,
        )

    def report_losses(self) -> None:
        """Report at once what this VM has observed of crashed upstreams."""
        if self.watch.picker() is None:
            self.watch.report_now()
        else:
            self.picker.schedule_report()

    def tell_control(self, revision: Revision) -> None:
        """Tell control at once that this VM takes requests from now on.

        Its callers' directory would else lack it until the next poll.
        """
        if not self.is_told:
            self.is_told = True
            self.watch.report_now()

    async def start(self) -> None:
        """Start every part, the callers' listener last."""
        self.configuration.subscribe(self.ingress.apply_revision)
        self.configuration.subscribe(self.tell_control)
        await start_listening(self.links.start, 'peer', self.settings.peer)
        self.configuration.start()
        self.picker.start()
        self.watch.start()
        await start_listening(self.ingress.start, 'http', self.settings.http)
        # What lives as long as the process is not searched again at each
        # collection, which would stop every stream for milliseconds.
        gc.freeze()
        gc.set_threshold(COLLECT_AFTER, *gc.get_threshold()[1:])
        log_change('ingress:started', vm=self.settings.name)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is in progress."""
        stop_on_signals(self.stopping)
        await self.start()
        await self.stopping.wait()
        log_change('ingress:draining', vm=self.settings.name)
        await self.close()
        log_change('ingress:stopped', vm=self.settings.name)

    async def close(self) -> None:
        """Finish every request, then close every part."""
        self.ingress.draining = True
        self.watch.report_now()
        await self.ingress.close(
            self.settings.farewell_s,
            self.settings.drain_limit_s,
        )
        await self.picker.waiting.close()
        await self.watch.close()
        await self.configuration.close()
        await self.links.close()
        self.timer.close()
