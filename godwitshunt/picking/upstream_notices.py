"""What upstreams state to one entry VM, passed on to all of a region.

An entry VM reports to its picker what upstreams have stated in answers. The
picker pushes what is new to the other entry VMs that report to it, and repeats
all of it in its replies to their polls. So a VM that chooses without a picker
knows what its picker knew.
"""

from collections.abc import Callable, Collection, Iterable

from godwitshunt.backpressure import (
    BrittleNotice,
    BrittleTable,
    RateLimitNotice,
)
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.picking.attempt_reports import AttemptReport
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.picking.wire_limits import (
    brittle_from_wire,
    brittle_to_wire,
    rate_limits_from_wire,
    rate_limits_to_wire,
)
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.telemetry import Metrics, log_change


class NoticeCollector:
    """Collects notices from entry VMs' reports and passes them on.

    Parameters
    ----------
    upstreams : Upstreams
        What the picker knows of the upstreams.
    entries : callable
        Returns the names of the entry VMs that report to the picker.
    links : PeerLinks
        Connections from the entry VMs.
    metrics : Metrics
        Counts pushes.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        entries: Callable[[], Collection[str]],
        links: PeerLinks,
        metrics: Metrics,
    ) -> None:
        self.upstreams = upstreams
        self.entries = entries
        self.links = links
        self.metrics = metrics

    def apply_report(
        self,
        name: str,
        load_report: ttypes.LoadReport,
        attempts: Iterable[AttemptReport],
        now_s: float,
    ) -> None:
        """Record what upstreams have stated to an entry VM.

        Parameters
        ----------
        name : str
            The entry VM.
        attempts : iterable of AttemptReport
            The attempts in its report.
        """
        self.record_rate_limits(name, load_report, attempts, now_s)
        self.record_brittle(name, load_report, attempts, now_s)
        self.record_departures(name, load_report, now_s)

    def record_rate_limits(
        self,
        name: str,
        load_report: ttypes.LoadReport,
        attempts: Iterable[AttemptReport],
        now_s: float,
    ) -> None:
        """Update the rate limits of upstreams from an entry VM's report.

        A report contains all limits that are in force at the entry VM. So an
        upstream that has answered it and is not among them stated no limit.
        Other entry VMs learn of a first limit at once and of changes with
        their polls: an upstream may state another number in each answer.
        """
        notices = rate_limits_from_wire(load_report.rate_limits, now_s)
        limited = {notice.incarnation for notice in notices}
        notices.extend(
            RateLimitNotice(attempt.instance, None, now_s - attempt.took_s)
            for attempt in attempts
            if attempt.is_answer and attempt.instance not in limited
        )
        table = self.upstreams.rate_limiter.table
        new = []
        for notice in notices:
            before = table.per_s(notice.incarnation)
            if not table.record(notice):
                continue
            log_change(
                'picking:upstream_rate_limit',
                instance=notice.incarnation,
                per_s=notice.per_s,
                age_s=round(now_s - notice.asof_s, 3),
                source=name,
            )
            if before is None and notice.per_s is not None:
                new.append(notice)
        if new:
            self.push(
                ttypes.UpstreamNotices([], rate_limits_to_wire(new, now_s)),
                name,
            )

    def record_brittle(
        self,
        name: str,
        load_report: ttypes.LoadReport,
        attempts: Iterable[AttemptReport],
        now_s: float,
    ) -> None:
        """Update which services are brittle from an entry VM's report."""
        notices = brittle_from_wire(load_report.brittle, now_s)
        stated = {notice.service for notice in notices}
        notices.extend(
            BrittleNotice(attempt.service, None, now_s - attempt.took_s)
            for attempt in attempts
            if attempt.is_answer and attempt.service not in stated
        )
        new = record_brittle(self.upstreams.brittle, notices, name)
        if new:
            brittle = brittle_to_wire(new, now_s)
            self.push(ttypes.UpstreamNotices([], [], brittle), name)

    def record_departures(
        self, name: str, load_report: ttypes.LoadReport, now_s: float
    ) -> None:
        """Record the upstreams that an entry VM reports as leaving."""
        departures = self.upstreams.departures
        new = departures.record_all(load_report.leaving or (), now_s)
        for instance in new:
            log_change(
                'picking:upstream_leaving', instance=instance, source=name
            )
        if new:
            self.push(ttypes.UpstreamNotices(sorted(new), []), name)

    def push(self, notices: ttypes.UpstreamNotices, reporter: str) -> None:
        """Push notices to all entry VMs but the one that reported them."""
        body = encode(notices)
        for entry in self.entries():
            if entry == reporter:
                continue
            is_sent = self.links.push(entry, MessageKind.upstream_notices, body)
            self.metrics.count(
                'picking_notices_pushed_total',
                outcome='sent' if is_sent else 'unsent',
            )

    def make_notices(self, now_s: float) -> ttypes.UpstreamNotices | None:
        """Return all notices as a struct; None if there are none."""
        leaving = sorted(self.upstreams.departures.present())
        limits = self.upstreams.rate_limiter.table.notices.values()
        brittle = self.upstreams.brittle.notices.values()
        if not (leaving or limits or brittle):
            return None
        return ttypes.UpstreamNotices(
            leaving,
            rate_limits_to_wire(limits, now_s),
            brittle_to_wire(brittle, now_s),
        )


class NoticeReceiver:
    """Applies the notices that an entry VM receives.

    Parameters
    ----------
    upstreams : Upstreams
        What the entry VM knows of the upstreams.
    now : callable
        Returns monotonic seconds.
    """

    def __init__(self, upstreams: Upstreams, now: Callable[[], float]) -> None:
        self.upstreams = upstreams
        self.now = now

    async def handle_pushed(self, control: str, body: bytes) -> None:
        """Apply pushed notices.

        Raises
        ------
        FrameError
            If the message is malformed.
        """
        notices = decode(ttypes.UpstreamNotices, body)
        if notices.leaving is None or notices.rate_limits is None:
            raise FrameError('UpstreamNotices: a field is missing')
        self.apply(control, notices)

    def apply(self, control: str, notices: ttypes.UpstreamNotices) -> None:
        """Record notices; log those that are new."""
        now_s = self.now()
        departures = self.upstreams.departures
        for instance in departures.record_all(notices.leaving or (), now_s):
            log_change(
                'picking:upstream_leaving', instance=instance, source=control
            )
        record_brittle(
            self.upstreams.brittle,
            brittle_from_wire(notices.brittle, now_s),
            control,
        )
        table = self.upstreams.rate_limiter.table
        for notice in rate_limits_from_wire(notices.rate_limits, now_s):
            if table.record(notice):
                log_change(
                    'picking:upstream_rate_limit',
                    instance=notice.incarnation,
                    per_s=notice.per_s,
                    age_s=round(now_s - notice.asof_s, 3),
                    source=control,
                )


def record_brittle(
    table: BrittleTable, notices: Iterable[BrittleNotice], source: str
) -> list[BrittleNotice]:
    """Record notices and log changes; return those of a changed bound."""
    new = [notice for notice in notices if table.record(notice)]
    for notice in new:
        log_change(
            'picking:service_brittle',
            service=notice.service,
            rejections_per_s=notice.per_s,
            source=source,
        )
    return new
