"""Reading of what upstreams state in the headers of their answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from godwitshunt.backpressure import (
    BrittleNotice,
    BrittleTable,
    DepartureTable,
    InvalidHeader,
    PauseTable,
    RateLimitNotice,
    RateLimitTable,
    read_decimal,
    read_flag,
)
from godwitshunt.exchange.upstream_messages import AnswerHead
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.registry import UpstreamAnnounced
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

UNAVAILABLE = 503
RETRY_AFTER = b'retry-after'
MAX_LOGGED_CHARACTERS = 100


@dataclass
class AnswerHeaderReader:
    """Records what upstreams state in the heads of their answers.

    A head is read when it is received: the rest of its answer may be lost.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers.
    rate_limits : RateLimitTable
        Receives the stated rate limits, beside those that others report.
    observed_limits : RateLimitTable
        Receives the stated rate limits only.
    pauses : PauseTable
        Receives the pauses that refusals ask for.
    departures : DepartureTable
        Receives the upstreams that state that they are leaving.
    brittle : BrittleTable
        Receives which services are brittle, beside those that others report.
    observed_brittle : BrittleTable
        Receives only which services have stated it here.
    on_departure : callable
        Called when an upstream is first known to be leaving, or a service to
        be brittle.
    ignored : dict
        Last invalid header of each upstream, which is logged once.
    """

    names: HeaderNames
    rate_limits: RateLimitTable
    observed_limits: RateLimitTable
    pauses: PauseTable
    departures: DepartureTable
    brittle: BrittleTable
    observed_brittle: BrittleTable
    on_departure: Callable[[], None]
    timer: Timer
    metrics: Metrics
    ignored: dict[str, InvalidHeader] = field(default_factory=dict)

    def read(
        self,
        upstream: UpstreamAnnounced,
        request_id: str,
        head: AnswerHead,
        sent_s: float,
    ) -> None:
        """Record what the head of an upstream's answer states.

        Parameters
        ----------
        upstream : UpstreamAnnounced
            The upstream that has made the answer.
        request_id : str
            The request, for logs.
        sent_s : float
            When the request was sent, in monotonic seconds.
        """
        incarnation = upstream.incarnation
        match read_decimal(head.headers, self.names.rate_limit):
            case Err(invalid):
                self.log_ignored(incarnation, request_id, invalid)
            case Ok(per_s):
                asof_s = sent_s if per_s is None else self.timer.now()
                notice = RateLimitNotice(incarnation, per_s, asof_s)
                self.record_rate_limit(notice, request_id)
        match read_decimal(head.headers, self.names.brittle):
            case Err(invalid):
                self.log_ignored(incarnation, request_id, invalid)
            case Ok(per_s):
                asof_s = sent_s if per_s is None else self.timer.now()
                self.record_brittle(
                    BrittleNotice(upstream.service, per_s, asof_s), request_id
                )
        match read_flag(head.headers, self.names.leaving):
            case Err(invalid):
                self.log_ignored(incarnation, request_id, invalid)
            case Ok(True):
                self.record_departure(incarnation, request_id)
        if head.status == UNAVAILABLE:
            self.read_pause(incarnation, request_id, head)

    def read_pause(
        self, incarnation: str, request_id: str, head: AnswerHead
    ) -> None:
        """Record the pause that a refusal asks for."""
        match read_decimal(head.headers, RETRY_AFTER):
            case Err(invalid):
                self.log_ignored(incarnation, request_id, invalid)
            case Ok(float(pause_s)):
                self.metrics.count('ingress_pauses_asked_total')
                if self.pauses.record(incarnation, pause_s, self.timer.now()):
                    log_change(
                        'ingress:upstream_pause',
                        instance=incarnation,
                        request=request_id,
                        pause_s=pause_s,
                    )

    def record_brittle(self, notice: BrittleNotice, request_id: str) -> None:
        """Record how many rejections a service bears; log a change."""
        self.observed_brittle.record(notice)
        if self.brittle.record(notice):
            self.on_departure()
            log_change(
                'ingress:service_brittle',
                service=notice.service,
                request=request_id,
                rejections_per_s=notice.per_s,
            )

    def record_departure(self, incarnation: str, request_id: str) -> None:
        """Record that an upstream is leaving; log it once."""
        if self.departures.record(incarnation, self.timer.now()):
            self.on_departure()
            log_change(
                'ingress:upstream_leaving',
                instance=incarnation,
                request=request_id,
            )

    def record_rate_limit(
        self, notice: RateLimitNotice, request_id: str
    ) -> None:
        """Record a notice about a rate limit; log a change."""
        before = self.rate_limits.per_s(notice.incarnation)
        if notice.per_s is not None:
            self.metrics.count('ingress_rate_limited_answers_total')
        self.observed_limits.record(notice)
        if self.rate_limits.record(notice):
            log_change(
                'ingress:upstream_rate_limit',
                instance=notice.incarnation,
                request=request_id,
                per_s=notice.per_s,
                before=before,
            )

    def log_ignored(
        self, incarnation: str, request_id: str, invalid: InvalidHeader
    ) -> None:
        """Count an invalid header and log it where it is a new one."""
        name = invalid.name.decode('latin-1')
        self.metrics.count('ingress_headers_ignored_total', header=name)
        if self.ignored.get(incarnation) == invalid:
            return
        self.ignored[incarnation] = invalid
        texts = b', '.join(invalid.texts).decode('latin-1')
        log_change(
            'ingress:header_ignored',
            instance=incarnation,
            request=request_id,
            header=name,
            content=texts[:MAX_LOGGED_CHARACTERS],
        )

    def remove_absent(self, present: frozenset[str]) -> None:
        """Remove the invalid headers of upstreams that are not present."""
        for incarnation in self.ignored.keys() - present:
            self.ignored.pop(incarnation)
