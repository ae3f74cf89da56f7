"""Routing decisions as a pure function of the VM's view.

The score of a destination is the objective's weighted sum of the predicted
time to the first token, the price, and a penalty for leaving the home region.
Hard rules (residency, isolation, at most one hop between regions) are checked
first and are never traded against the score.
"""

from dataclasses import dataclass
from random import Random

from godwitshunt.manifest import Objective
from godwitshunt.membership.views import RegionView, UpstreamView
from godwitshunt.routing.candidates import (
    Candidate,
    candidates,
    usable_group,
)
from godwitshunt.routing.index import UpstreamGroup, ViewIndex
from godwitshunt.routing.messages import (
    Decision,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)
from godwitshunt.routing.prediction import RequestWork
from godwitshunt.routing.regions import (
    RemoteRegion,
    already_forwarded,
    forward_targets,
    has_free_slot,
    has_loop,
    make_forward,
    min_remote_score,
    price_of,
    remote_penalty,
)

SHORTEST_WAIT_S = 0.05
LONGEST_WAIT_S = 0.5
# The delay between decisions is this share of the time waited so far.
WAIT_GROWTH_RATIO = 0.1

# Cache derived from the last view. It only depends on the view passed to each
# decision, so decisions remain functions of their inputs.
VIEW_INDEX = ViewIndex()
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 30.0


@dataclass(frozen=True)
class LocalCandidate:
    """An upstream of the own region with its score; lower is better.

    Parameters
    ----------
    predicted_s, needed_s : float
        Predicted seconds to the first token and to the end of the answer.
    uncached_tokens : int
        Prompt tokens that the upstream likely has to prefill.
    """

    upstream: UpstreamView
    score: float
    predicted_s: float
    needed_s: float
    uncached_tokens: int


def choose(
    view: RegionView,
    request: RouteRequest,
    objective: Objective,
    random: Random,
) -> Decision:
    """Decide where to send a request.

    Parameters
    ----------
    view : RegionView
        Upstreams of the own region, and summaries of the others.
    request : RouteRequest
        The request to route.
    objective : Objective
        Weights from the manifest.
    random : random.Random
        The only source of randomness: equal inputs and seeds give equal
        decisions.

    Returns
    -------
    Decision
        `Serve`, `Forward`, `Wait` or `Refuse`.
    """
    refusal = permanent_refusal(view, request)
    if refusal is not None:
        return refusal
    group = VIEW_INDEX.group(view, request.service, request.model)
    local = best_local(view, group, request, objective, random)
    local_decision = serve_in_time(local, request)
    speed = group.prefill_tokens_per_s
    if local_decision:
        best_remote_score = min_remote_score(view, request, objective, speed)
        if local.best.score <= best_remote_score:
            return local_decision
    remote = []
    if not view.isolated:
        remote = forward_targets(view, request, objective, speed)
    return serve_or_forward(request, local, remote, objective, random)


def permanent_refusal(view: RegionView, request: RouteRequest) -> Refuse | None:
    """Return a refusal that does not depend on capacity, or None."""
    if has_loop(view, request):
        return Refuse(RefusalReason.loop)
    if not request.allowed:
        return Refuse(RefusalReason.residency)
    if view.isolated:
        return isolated_refusal(view, request)
    is_allowed = view.region in request.allowed
    if not is_allowed and already_forwarded(view, request):
        return Refuse(RefusalReason.residency)
    return None


def isolated_refusal(view: RegionView, request: RouteRequest) -> Refuse | None:
    """Return a refusal if an isolated VM must not serve a request.

    A newer manifest may have removed this region from the rule of a restricted
    caller with another home, and an isolated VM would not have received it.
    Callers whose home is this region are still served: a change of their rule
    is accepted only after this region's VMs have acknowledged it.
    """
    bound_elsewhere = request.restricted and request.home != view.region
    if bound_elsewhere or view.region not in request.allowed:
        return Refuse(RefusalReason.isolated)
    return None


@dataclass(frozen=True)
class LocalChoice:
    """Best candidate of the own region.

    Parameters
    ----------
    best : LocalCandidate or None
        The best upstream with a slot for the class.
    served : bool
        Whether the region has any upstream for the request, free or not.
    """

    best: LocalCandidate | None
    served: bool


def best_local(
    view: RegionView,
    group: UpstreamGroup,
    request: RouteRequest,
    objective: Objective,
    random: Random,
) -> LocalChoice:
    """Return the best of a few sampled upstreams of the own region."""
    if view.region not in request.allowed:
        return LocalChoice(None, served=False)
    usable = usable_group(group, request)
    if not usable.members:
        served = not request.excluded.issuperset(group.positions)
        return LocalChoice(None, served=served)
    work = RequestWork(
        request.prompt_tokens,
        request.output_tokens,
        request.waited_s + request.deadline_s,
    )
    scored = [
        score_local(candidate, work, request, objective)
        for candidate in candidates(usable, request, random)
    ]
    return LocalChoice(min(scored, key=preference_key), served=True)


def preference_key(local: LocalCandidate) -> tuple[float, str]:
    """Return the sort key of preference; names break ties."""
    return (local.score, local.upstream.name)


def score_local(
    candidate: Candidate,
    work: RequestWork,
    request: RouteRequest,
    objective: Objective,
) -> LocalCandidate:
    """Return an upstream with its score."""
    upstream = candidate.upstream
    cached = candidate.cached
    predicted_s = work.first_token_s(upstream, cached)
    score = (
        objective.latency
        * (predicted_s + work.cache_miss_cost_s(upstream, cached))
        + objective.cost * price_of(upstream.price, request)
        + remote_penalty(upstream.region, request, objective)
    )
    decode_reserve_s = work.decode_reserve_s(upstream.decode_tokens_per_s)
    return LocalCandidate(
        upstream,
        score,
        predicted_s,
        predicted_s + decode_reserve_s,
        round(work.uncached_tokens(cached)),
    )


def serve_or_forward(
    request: RouteRequest,
    local: LocalChoice,
    remote: list[RemoteRegion],
    objective: Objective,
    random: Random,
) -> Decision:
    """Serve here or forward, whichever is better; else wait or refuse."""
    local_decision = serve_in_time(local, request)
    to_beat = score_to_beat(local, local_decision, request, objective)
    for target in remote:
        if target.score < to_beat and has_free_slot(target, request):
            decision = make_forward(target, request, random)
            if decision is not None:
                return decision
    return local_decision or wait_or_refuse(request, local, remote, random)


def score_to_beat(
    local: LocalChoice,
    local_decision: Serve | None,
    request: RouteRequest,
    objective: Objective,
) -> float:
    """Return the score that another region has to be below.

    A request that waits for a slot of its class is assumed to wait as long
    again as it has waited so far. So long requests stay in the home region
    while the penalty outweighs the wait, and may leave it in any case once
    half of their time has passed.
    """
    if local_decision is not None:
        return local.best.score
    waits = local.served and local.best is None
    if waits and request.waited_s < request.deadline_s:
        return objective.latency * request.waited_s
    return float('inf')


def serve_in_time(local: LocalChoice, request: RouteRequest) -> Serve | None:
    """Return the best local upstream if it is predicted to be in time."""
    best = local.best
    if best is None or best.needed_s > request.deadline_s:
        return None
    return Serve(best.upstream, best.predicted_s, best.uncached_tokens)


def wait_or_refuse(
    request: RouteRequest,
    local: LocalChoice,
    remote: list[RemoteRegion],
    random: Random,
) -> Decision:
    """Return a wait or a refusal for a request that nothing can serve now."""
    if local.served and local.best is None:
        wait_s = decision_delay_s(request, random)
        if wait_s < request.deadline_s:
            return Wait(wait_s)
    if not local.served and not remote:
        return Refuse(RefusalReason.no_upstream, SHORTEST_RETRY_S)
    late_s = LONGEST_RETRY_S
    if local.best is not None:
        late_s = local.best.needed_s - request.deadline_s
    return Refuse(RefusalReason.overloaded, retry_after_s(late_s, random))


def decision_delay_s(request: RouteRequest, random: Random) -> float:
    """Return the delay to the next decision, which grows with the wait.

    A hundred queued jobs that were each decided twenty times a second would
    cost the VM more time than its requests.
    """
    grown_s = WAIT_GROWTH_RATIO * request.waited_s
    bounded_s = min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, grown_s))
    return bounded_s * random.uniform(0.5, 1.5)


def retry_after_s(late_s: float, random: Random) -> float:
    """Return a retry delay in seconds, with jitter.

    Without jitter, callers that are refused together would retry together and
    overload the upstreams again.
    """
    bounded = min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, late_s))
    return bounded * random.uniform(1.0, 2.0)
