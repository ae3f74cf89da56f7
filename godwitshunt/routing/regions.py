"""Other regions that a request may be forwarded to."""

from dataclasses import dataclass
from random import Random

from godwitshunt.manifest import Objective
from godwitshunt.membership.views import RegionSummary, RegionView
from godwitshunt.routing.messages import Forward, RouteRequest
from godwitshunt.routing.prediction import CACHE_MISS_WEIGHT

MAX_SUMMARY_AGE_S = 5.0
TOKENS_PER_PRICE_UNIT = 1000
ASSUMED_PREFILL_TOKENS_PER_S = 1000.0


@dataclass(frozen=True)
class RemoteRegion:
    """A region that a request could be forwarded to.

    Parameters
    ----------
    score : float
        The objective's weighted sum; lower is better.
    predicted_s : float
        Predicted seconds to the first token, including the network.
    """

    summary: RegionSummary
    score: float
    predicted_s: float


def remote_penalty(
    region: str,
    request: RouteRequest,
    objective: Objective,
) -> float:
    """Return the objective's penalty for serving outside the home region."""
    if region == request.home:
        return 0.0
    return objective.share_away


def price_of(price: float, request: RouteRequest) -> float:
    """Return the price of a request's answer."""
    return price * request.output_tokens / TOKENS_PER_PRICE_UNIT


def already_forwarded(view: RegionView, request: RouteRequest) -> bool:
    """Return whether a request has already been sent between regions."""
    return any(region != view.region for region in request.regions_visited)


def has_loop(view: RegionView, request: RouteRequest) -> bool:
    """Return whether a request came back to a region that forwarded it."""
    return view.region in request.regions_visited[:-1]


def can_serve(summary: RegionSummary, request: RouteRequest) -> bool:
    """Return whether a region may and can serve a request.

    A stale summary suggests that the region is partitioned or down, and
    forwarding there would cost the caller a timeout.
    """
    if summary.region not in request.allowed:
        return False
    requested = (request.service, request.model)
    if (summary.service, summary.model) != requested:
        return False
    return summary.slots > 0 and summary.age_s <= MAX_SUMMARY_AGE_S


def forward_targets(
    view: RegionView,
    request: RouteRequest,
    objective: Objective,
    prefill_tokens_per_s: float,
) -> list[RemoteRegion]:
    """Return regions to forward to, best first."""
    if already_forwarded(view, request):
        return []
    found = [
        score_region(summary, request, objective, prefill_tokens_per_s)
        for summary in view.summaries
        if summary.region != view.region and can_serve(summary, request)
    ]
    return sorted(
        found,
        key=lambda target: (target.score, target.summary.region),
    )


def min_remote_score(
    view: RegionView,
    request: RouteRequest,
    objective: Objective,
    prefill_tokens_per_s: float,
) -> float:
    """Return a lower bound on the score of all other regions.

    It is sufficient for most decisions, which then read no summary.
    """
    prefill_s = cold_prefill_s(request, prefill_tokens_per_s)
    least = objective.latency * (1.0 + CACHE_MISS_WEIGHT) * prefill_s
    if request.home == view.region:
        least += objective.share_away
    return least


def cold_prefill_s(request: RouteRequest, tokens_per_s: float) -> float:
    """Return the prefill seconds of a prompt with a cold cache.

    Summaries do not contain the speed of another region's upstreams, so that
    of the own region is used.
    """
    if request.model is None:
        return 0.0
    return request.prompt_tokens / (
        tokens_per_s or ASSUMED_PREFILL_TOKENS_PER_S
    )


def score_region(
    summary: RegionSummary,
    request: RouteRequest,
    objective: Objective,
    prefill_tokens_per_s: float,
) -> RemoteRegion:
    """Return a region with its score."""
    prefill_s = cold_prefill_s(request, prefill_tokens_per_s)
    predicted_s = summary.round_trip_s + summary.wait_s + prefill_s
    # The other region has likely not cached the prefix, and its own callers
    # wait for the prefill of this request.
    score = (
        objective.latency * (predicted_s + CACHE_MISS_WEIGHT * prefill_s)
        + objective.cost * price_of(summary.price, request)
        + remote_penalty(summary.region, request, objective)
    )
    return RemoteRegion(summary, score, predicted_s)


def has_free_slot(target: RemoteRegion, request: RouteRequest) -> bool:
    """Return whether a region has a free slot and can answer in time."""
    summary = target.summary
    reserved_slots = summary.slots * (1.0 - request.slot_share)
    in_time = target.predicted_s <= request.deadline_s
    return in_time and summary.free_slots > reserved_slots


def make_forward(
    target: RemoteRegion,
    request: RouteRequest,
    random: Random,
) -> Forward | None:
    """Return a forward to a random VM of a region.

    None if every VM of the region has already handled or failed the request.
    """
    vms = sorted(
        (name, address)
        for name, address in target.summary.vms
        if name not in request.path and name not in request.excluded
    )
    if not vms:
        return None
    name, address = random.choice(vms)
    return Forward(
        target.summary.region,
        name,
        address,
        target.predicted_s,
    )
