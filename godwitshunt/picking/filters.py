"""Eligibility of upstreams for requests, with the reason for a refusal."""

from collections.abc import Callable
from dataclasses import dataclass

from godwitshunt.configuration.revision import Revision
from godwitshunt.picking.choices import ChoiceRequest
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import UpstreamSeen
from godwitshunt.routing.engine_memory import fits
from godwitshunt.routing.selection import Candidate

# An upstream that terminates sooner than this gets no new request, because the
# answer might not be complete by then.
MIN_REMAINING_S = 1.5


# No slot of a brittle upstream is known to be free.
NO_FREE_SLOT = 'brittle, and no slot is free'


def always(upstream: UpstreamSeen, request: ChoiceRequest) -> bool:
    """Permit any request to a cold upstream."""
    return True


def has_any_slot(upstream: UpstreamSeen) -> bool:
    """Permit any request to a brittle upstream."""
    return True


@dataclass
class UpstreamFilter:
    """Selects the upstreams that can accept a request.

    Parameters
    ----------
    region : str
        This process's region; upstreams of other regions are reached by a
        hand-over only.
    upstreams : Upstreams
        Statistics of the upstreams.
    has_cold_capacity : callable
        Returns whether this process may send one more request to a cold
        upstream.
    has_slot : callable
        Returns whether a slot of an upstream is known to be free for this
        process. Brittle upstreams get no other requests.
    """

    region: str
    upstreams: Upstreams
    has_cold_capacity: Callable[[UpstreamSeen, ChoiceRequest], bool] = always
    has_slot: Callable[[UpstreamSeen], bool] = has_any_slot

    def __post_init__(self) -> None:
        # Each choice looks up every upstream here.
        self.limits = self.upstreams.rate_limiter.table.notices

    def may_be_cold(
        self, upstream: UpstreamSeen, request: ChoiceRequest
    ) -> bool:
        """Return whether the budget for cold upstreams applies.

        An upstream to which a connection failed may have crashed and restarted
        under the same name while it is partitioned from every control VM. No
        VM is then informed that it is cold, and the usual load would crash it.
        """
        if upstream.cold_until_s > request.now_s:
            return True
        cold = request.service.cold_start
        if cold is None:
            return False
        health = self.upstreams.health_of(upstream.announcement.incarnation)
        return request.now_s - health.connect_failed_s < cold.duration_s

    def refusal(
        self,
        upstream: UpstreamSeen,
        request: ChoiceRequest,
        revision: Revision,
    ) -> str | None:
        """Return why an upstream is not eligible; None if it is.

        The budget of a cold upstream is kept in its own region. Other regions
        exclude it, because requests handed over for it would be refused there.
        """
        now_s = request.now_s
        if upstream.announcement.failure_domain in revision.evacuated:
            return 'evacuated'
        if upstream.announcement.draining or ends_soon(upstream, now_s):
            return 'leaves'
        if upstream.region != self.region:
            return 'cold' if upstream.cold_until_s > now_s else None
        incarnation = upstream.announcement.incarnation
        if incarnation in self.upstreams.departures.stated_s:
            return 'leaves'
        health = self.upstreams.health_of(incarnation)
        if now_s < health.down_until_s:
            return 'unreached'
        if now_s < health.full_until_s:
            return 'refused a request as full'
        if incarnation in request.pauses:
            return 'asked for a pause'
        if incarnation in self.limits and self.rate_wait_s(upstream, now_s):
            return 'rate limit'
        is_brittle = self.upstreams.brittle.is_brittle(request.service.name)
        if is_brittle and not self.has_slot(upstream):
            return NO_FREE_SLOT
        if self.may_be_cold(upstream, request) and not self.has_cold_capacity(
            upstream, request
        ):
            return 'cold'
        return None

    def rate_wait_s(self, upstream: UpstreamSeen, now_s: float) -> float:
        """Return the seconds until an upstream's rate limit permits a request.

        The limit of an upstream of another region is kept in that region.
        """
        if upstream.region != self.region:
            return 0.0
        incarnation = upstream.announcement.incarnation
        return self.upstreams.rate_limiter.wait_s(incarnation, now_s)


def is_full(candidate: Candidate, request: ChoiceRequest) -> bool:
    """Return whether an upstream has no room for a request.

    A search asks this first for a candidate with the number of requests of
    several upstreams and no pending tokens, and skips them all if that is full.
    So more load never makes room.
    """
    most = request.max_per_slot * candidate.slots + request.extra_in_flight
    if candidate.in_flight >= most:
        return True
    return request.memory_bound and not fits(candidate, request.demand)


def ends_soon(upstream: UpstreamSeen, now_s: float) -> bool:
    """Return whether an upstream may terminate before an answer is complete."""
    return (
        upstream.ends_at_s is not None
        and upstream.ends_at_s - now_s < MIN_REMAINING_S
    )
