"""Whether an upstream takes work now, and if not, why."""

from collections.abc import Callable
from dataclasses import dataclass

from godwitshunt.configuration.revision import Revision
from godwitshunt.picking.choices import ChoiceRequest
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import UpstreamSeen
from godwitshunt.routing.selection import Candidate

# One that is about to be gone gets nothing that would not be done by then.
LEAST_LIFE_S = 1.5
# An engine takes this many requests for each of its slots. Logs of an
# overloaded day show first events on time up to twice the slots; with more,
# they come late, and streams outlast their time.
REQUESTS_A_SLOT = 2.0


def always(upstream: UpstreamSeen, ask: ChoiceRequest) -> bool:
    """Let a cold upstream get any request."""
    return True


@dataclass
class UpstreamFilter:
    """Tells which upstreams would take a request.

    Parameters
    ----------
    region : str
        The region whose upstreams are sent to from here.
    upstreams : Upstreams
        What requests have shown of them.
    has_cold_capacity : callable
        Tells whether a cold upstream may get one more request by this process.
    """

    region: str
    upstreams: Upstreams
    has_cold_capacity: Callable[[UpstreamSeen, ChoiceRequest], bool] = always

    def may_be_cold(self, upstream: UpstreamSeen, ask: ChoiceRequest) -> bool:
        """Tell whether an upstream must get no more than cold ones bear.

        One that could not be reached may have crashed and started again under
        its name, cut off from every control VM: then nobody hears that it is
        cold, and the load that its VMs go on to send would crash it.
        """
        if upstream.cold_until_s > ask.now_s:
            return True
        cold = ask.service.cold_start
        if cold is None:
            return False
        health = self.upstreams.health_of(upstream.announcement.incarnation)
        return ask.now_s - health.connect_failed_s < cold.duration_s

    def refusal(
        self,
        upstream: UpstreamSeen,
        ask: ChoiceRequest,
        revision: Revision,
    ) -> str | None:
        """Return why an upstream would take no request now; None if it would.

        What a cold one may get is counted in its own region: taken for a free
        one elsewhere, it would draw what is then refused there.
        """
        now_s = ask.now_s
        if upstream.announcement.failure_domain in revision.evacuated:
            return 'evacuated'
        if upstream.announcement.draining or ends_soon(upstream, now_s):
            return 'leaves'
        if upstream.region != self.region:
            return 'cold' if upstream.cold_until_s > now_s else None
        health = self.upstreams.health_of(upstream.announcement.incarnation)
        if now_s < health.down_until_s:
            return 'unreached'
        if now_s < health.full_until_s:
            return 'turned away'
        if self.may_be_cold(upstream, ask) and not self.has_cold_capacity(
            upstream, ask
        ):
            return 'cold'
        return None


def is_full(candidate: Candidate) -> bool:
    """Tell whether an upstream has as many requests as it should."""
    return candidate.in_flight >= REQUESTS_A_SLOT * candidate.slots


def ends_soon(upstream: UpstreamSeen, now_s: float) -> bool:
    """Tell whether an upstream will be gone before an answer is whole."""
    return (
        upstream.ends_at_s is not None
        and upstream.ends_at_s - now_s < LEAST_LIFE_S
    )
