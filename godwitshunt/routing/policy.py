"""Where a request goes: a pure function of what the VM knows.

The score of a place is the objective's weighted sum of the predicted time to
the first token, the price, and a penalty for leaving the home region. Rules
that must always hold (residency, isolation, one hop) are checked first and
never weighed.
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
    Target,
    away_penalty,
    came_back,
    crossed_regions,
    forward_targets,
    least_away,
    make_forward,
    price_of,
    takes_now,
)

SHORTEST_WAIT_S = 0.05
LONGEST_WAIT_S = 0.5
WAIT_GROWTH = 0.1

# What was derived from the last view; it holds nothing that the view given to
# a decision does not say, so decisions stay functions of their inputs.
INDEX = ViewIndex()
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 30.0


@dataclass(frozen=True)
class Local:
    """An upstream of the own region with its score; lower is better.

    Parameters
    ----------
    predicted_s, needed_s : float
        Seconds to the first token and to the end of the answer.
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
    """Decide where a request goes.

    Parameters
    ----------
    view : RegionView
        Own upstreams in full, other regions as summaries.
    request : RouteRequest
        What is asked.
    objective : Objective
        Weights from the manifest.
    random : random.Random
        The only source of chance: equal inputs and seeds decide equally.

    Returns
    -------
    Decision
        `Serve`, `Forward`, `Wait` or `Refuse`.
    """
    refusal = permanent_refusal(view, request)
    if refusal is not None:
        return refusal
    group = INDEX.group(view, request.service, request.model)
    local = best_local(view, group, request, objective, random)
    here = serve_in_time(local, request)
    speed = group.prefill_tokens_per_s
    if here:
        least = least_away(view, request, objective, speed)
        if local.best.score <= least:
            return here
    others = []
    if not view.isolated:
        others = forward_targets(view, request, objective, speed)
    return decide(request, local, others, objective, random)


def permanent_refusal(view: RegionView, request: RouteRequest) -> Refuse | None:
    """Return a refusal that no free capacity could change."""
    if came_back(view, request):
        return Refuse(RefusalReason.loop)
    if not request.allowed:
        return Refuse(RefusalReason.residency)
    if view.isolated:
        return isolated_refusal(view, request)
    here = view.region in request.allowed
    if not here and crossed_regions(view, request):
        return Refuse(RefusalReason.residency)
    return None


def isolated_refusal(view: RegionView, request: RouteRequest) -> Refuse | None:
    """Return a refusal where an isolated VM must not serve.

    A newer manifest may have taken this region away from a restricted caller
    of another home, and an isolated VM would not have heard of it. Callers
    that are homed here keep being served: their rule is accepted only after
    this region's VMs have acknowledged it.
    """
    bound_elsewhere = request.restricted and request.home != view.region
    if bound_elsewhere or view.region not in request.allowed:
        return Refuse(RefusalReason.isolated)
    return None


@dataclass(frozen=True)
class LocalChoice:
    """What the own region offers.

    Parameters
    ----------
    best : Local or None
        The best upstream with a slot for the class.
    served : bool
        Whether the region has any upstream for the request.
    """

    best: Local | None
    served: bool


def best_local(
    view: RegionView,
    group: UpstreamGroup,
    request: RouteRequest,
    objective: Objective,
    random: Random,
) -> LocalChoice:
    """Return the best of a few upstreams of the own region."""
    if view.region not in request.allowed:
        return LocalChoice(None, served=False)
    usable = usable_group(group, request)
    if not usable.members:
        served = not request.excluded.issuperset(group.places)
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
    return LocalChoice(min(scored, key=local_order), served=True)


def local_order(local: Local) -> tuple[float, str]:
    """Return the order of preference; names settle equal scores."""
    return (local.score, local.upstream.name)


def score_local(
    candidate: Candidate,
    work: RequestWork,
    request: RouteRequest,
    objective: Objective,
) -> Local:
    """Return an upstream with its score."""
    upstream = candidate.upstream
    cached = candidate.cached
    predicted_s = work.first_token_s(upstream, cached)
    score = (
        objective.latency * (predicted_s + work.miss_s(upstream, cached))
        + objective.cost * price_of(upstream.price, request)
        + away_penalty(upstream.region, request, objective)
    )
    finish_s = work.finish_s(upstream.decode_tokens_per_s)
    return Local(
        upstream,
        score,
        predicted_s,
        predicted_s + finish_s,
        round(work.uncached_tokens(cached)),
    )


def decide(
    request: RouteRequest,
    local: LocalChoice,
    others: list[Target],
    objective: Objective,
    random: Random,
) -> Decision:
    """Return the better of serving here and forwarding, or the alternative."""
    here = serve_in_time(local, request)
    staying = staying_score(local, here, request, objective)
    for target in others:
        if target.score < staying and takes_now(target, request):
            decision = make_forward(target, request, random)
            if decision is not None:
                return decision
    return here or without_place(request, local, others, random)


def staying_score(
    local: LocalChoice,
    here: Serve | None,
    request: RouteRequest,
    objective: Objective,
) -> float:
    """Return what another region's score has to be below.

    A request that waits for a slot of its class is taken to wait as long
    again as it has waited. So long work stays at home for as long as staying
    is worth, and may leave it once half of its time has passed.
    """
    if here is not None:
        return local.best.score
    waits = local.served and local.best is None
    if waits and request.waited_s < request.deadline_s:
        return objective.latency * request.waited_s
    return float('inf')


def serve_in_time(local: LocalChoice, request: RouteRequest) -> Serve | None:
    """Return the best upstream here where it is predicted to be in time."""
    best = local.best
    if best is None or best.needed_s > request.deadline_s:
        return None
    return Serve(best.upstream, best.predicted_s, best.uncached_tokens)


def without_place(
    request: RouteRequest,
    local: LocalChoice,
    others: list[Target],
    random: Random,
) -> Decision:
    """Return a wait or a refusal where nothing can take a request now."""
    if local.served and local.best is None:
        wait_s = pause_s(request, random)
        if wait_s < request.deadline_s:
            return Wait(wait_s)
    if not local.served and not others:
        return Refuse(RefusalReason.no_upstream, SHORTEST_RETRY_S)
    late_s = LONGEST_RETRY_S
    if local.best is not None:
        late_s = local.best.needed_s - request.deadline_s
    return Refuse(RefusalReason.overloaded, retry_after_s(late_s, random))


def pause_s(request: RouteRequest, random: Random) -> float:
    """Return the time to the next decision, longer for who waits longer.

    A hundred long jobs that all asked twenty times a second would take the VM
    more time than its requests.
    """
    grown_s = WAIT_GROWTH * request.waited_s
    bounded_s = min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, grown_s))
    return bounded_s * random.uniform(0.5, 1.5)


def retry_after_s(late_s: float, random: Random) -> float:
    """Return when to come back, spread so that callers do not return at once.

    Callers refused in one moment that return in one moment would overload the
    upstreams again, for ever; the spread breaks that rhythm.
    """
    bounded = min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, late_s))
    return bounded * random.uniform(1.0, 2.0)
