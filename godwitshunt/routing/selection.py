"""Selection of the upstream or region for a request of a route; no I/O.

The time to the first event is predicted for each candidate from its known
load, and the candidate with the lowest cost is chosen. The shared prefix of a
prompt is expected in the cache of the one upstream of all regions that
rendezvous hashing ranks first for it, so that VMs agree without communication.
If that upstream is busy, prefilling the prefix elsewhere is compared with
waiting.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998; Mirrokni, Thorup and Zadimoghaddam,
"Consistent hashing with bounded loads", SODA 2018.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf, log
from typing import Self

from godwitshunt.routing.hashing import WORD_MASK, rank_weight

# Shorter shared prefixes are prefilled in a few milliseconds; affinity would
# only concentrate load.
MIN_SHARED_TOKENS = 1500
# One of the candidates within this cost of the best is chosen at random;
# otherwise VMs that decide on the same reports would all choose the same one.
NEAR_BEST_S = 0.01
# Cost of each request in flight, since every one makes an engine's steps
# longer. With a much higher value, requests leave engines that have their
# prompts cached for less loaded ones, and more of them miss their objective.
CROWDING_PER_REQUEST_S = 0.004
# Share of the pending prompt tokens that are ahead of an urgent request: it
# overtakes waiting prompts, but an engine does not interrupt a prefill. Lower
# values admit more urgent requests in a peak than meet their objective; higher
# values refuse requests that engines could serve.
URGENT_WAIT_SHARE = 0.5
# A prefill delays every stream that runs on the same engine; this share of the
# sum of their delays is added to the cost.
STREAM_DELAY_SHARE = 0.05
# At an engine without a free slot a request waits, or preempts a less urgent
# one, whose prompt is prefilled again. The prediction includes the wait; this
# is the cost of the preemption.
FULL_PENALTY_S = 0.1
# If an upstream has a prompt's shared prefix cached, prefilling it at another
# one takes engine time from all requests there and evicts other prefixes. So
# this multiple of the prefill time is added to the cost, as long as an upstream
# with the prefix cached has slack: its prediction is below this share of the
# objective. Without the slack condition, requests of a peak would wait for the
# same few engines.
REREAD_WEIGHT = 2.0
SLACK_SHARE = 0.4
# Attention compares each token of a prompt with all tokens before it. So n
# tokens with k of them cached take as long as this times (n*n - k*k) additional
# tokens.
PAIR_TOKENS = 8.2e-6


@dataclass(frozen=True)
class ServiceSpeed:
    """Speed of a service's upstreams without load.

    Parameters
    ----------
    first_s : float
        Seconds to an answer, or to a stream's first event, without a prompt.
    tokens_per_s : float
        Prompt tokens that an upstream prefills per second; 0 for services
        without prompts.
    run_s : float
        Seconds that a request occupies a slot.
    """

    first_s: float
    tokens_per_s: float
    run_s: float

    def prefill_s(self, tokens: float) -> float:
        """Return the seconds to prefill some tokens."""
        return tokens / self.tokens_per_s if self.tokens_per_s else 0.0


@dataclass(frozen=True)
class Demand:
    """Work that a request requires of an upstream.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    shared_tokens : int
        Length of its shared prefix, which an upstream may have cached.
    shared_key : int or None
        Identifies the shared prefix.
    urgent : bool
        True for requests of the first rank, which are served before others.
    objective_s : float
        Objective for the time to the first event in seconds; with 0 the cost
        that a repeated prefill causes others is not counted.
    reserved_tokens : int
        Memory of an engine that the request needs until it ends, without a
        shared prefix that is counted once for all its users.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    shared_key: int | None = None
    urgent: bool = False
    objective_s: float = 0.0
    reserved_tokens: int = 0

    def unread_tokens(self, *, cached: bool) -> int:
        """Return the prefill work, in tokens of a short prompt.

        Parameters
        ----------
        cached : bool
            Whether the upstream has the shared prefix cached.

        Examples
        --------
        >>> Demand(50_000, 25_000).unread_tokens(cached=True)
        40375
        >>> Demand(383, 92).unread_tokens(cached=False)
        384
        """
        shared = self.shared_tokens if cached else 0
        pairs = self.prompt_tokens**2 - shared**2
        return self.prompt_tokens - shared + round(PAIR_TOKENS * pairs)

    @property
    def has_affinity(self) -> bool:
        """Whether to prefer an upstream that has the prefix cached."""
        is_long = self.shared_tokens >= MIN_SHARED_TOKENS
        return is_long and self.shared_key is not None


@dataclass(frozen=True)
class Candidate:
    """Current state of an upstream.

    Parameters
    ----------
    instance, region : str
        Incarnation and its region.
    slots : int
        Requests that it runs concurrently.
    in_flight : int
        Requests of all VMs that have not ended there.
    pending_tokens : float
        Prompt tokens of the requests that wait for their first event.
    delay_s : float
        Recent average by which first events were later than predicted.
    away_s : float
        For a remote region: round trip plus the configured preference for the
        own region, in seconds.
    cached : bool
        Whether it is known to have the shared prefix cached.
    affinity : float
        Weight in rendezvous hashing: its relative share of prefixes.
    penalty_s : float
        Additional cost in seconds that does not depend on load.
    free_tokens : float
        Memory that the requests in flight leave; infinite where memory is not
        limited.
    shares_prefix : bool
        Whether requests in flight there use the shared prefix, so that it is
        reserved already.
    """

    instance: str
    region: str
    slots: int
    in_flight: int
    pending_tokens: float
    delay_s: float = 0.0
    away_s: float = 0.0
    cached: bool = False
    affinity: float = 1.0
    penalty_s: float = 0.0
    free_tokens: float = inf
    shares_prefix: bool = False


@dataclass(frozen=True)
class RankedCandidate:
    """A candidate with its predicted time and cost.

    Parameters
    ----------
    predicted_s : float
        Predicted seconds to the first event, including the round trip.
    cost_s : float
        The prediction plus other costs of sending a request there, in seconds;
        lower is better.
    unread_tokens : int
        Prefill work for the part of the prompt that is not cached, in tokens
        of a short prompt.
    """

    candidate: Candidate
    predicted_s: float
    cost_s: float
    unread_tokens: int = 0


def rank(
    candidates: Iterable[Candidate],
    demand: Demand,
    speed: ServiceSpeed,
) -> list[RankedCandidate]:
    """Return candidates ordered by cost, best first."""
    known_candidates = list(candidates)
    owner = owner_of(known_candidates, demand)
    ranked = [
        estimate(entry, demand, speed, entry.instance == owner)
        for entry in known_candidates
    ]
    if has_holder_with_slack(ranked, demand):
        ranked = [add_reread_cost(entry, demand, speed) for entry in ranked]
    ranked.sort(key=lambda entry: entry.cost_s)
    return ranked


def has_holder_with_slack(
    ranked: list[RankedCandidate], demand: Demand
) -> bool:
    """Return whether an upstream with the prefix cached has slack."""
    limit_s = SLACK_SHARE * demand.objective_s
    return demand.has_affinity and any(
        entry.candidate.cached and entry.predicted_s < limit_s
        for entry in ranked
    )


def add_reread_cost(
    ranked: RankedCandidate,
    demand: Demand,
    speed: ServiceSpeed,
) -> RankedCandidate:
    """Add the cost that a repeated prefill of the prefix causes others."""
    if ranked.candidate.cached:
        return ranked
    reread_s = reread_cost_s(demand, speed)
    return replace(ranked, cost_s=ranked.cost_s + reread_s)


def owner_of(candidates: list[Candidate], demand: Demand) -> str | None:
    """Return the upstream that owns a shared prefix.

    None for short prefixes, and if a candidate already has the prefix cached:
    the upstream that was chosen when the owner was busy or absent is retained.
    """
    if not demand.has_affinity or not candidates:
        return None
    if any(candidate.cached for candidate in candidates):
        return None
    owner = max(
        candidates,
        key=lambda candidate: (
            weighted_rank(
                demand.shared_key, candidate.instance, candidate.affinity
            ),
            candidate.instance,
        ),
    )
    return owner.instance


def weighted_rank(key: int, name: str, weight: float) -> float:
    """Return a name's score for a key; names win in proportion to weights.

    Weighted rendezvous hashing: the hash is mapped uniformly to 0 to 1, and
    the weight is divided by the negative of its logarithm.

    Examples
    --------
    >>> wins = sum(
    ...     weighted_rank(key, 'a', 3.0) > weighted_rank(key, 'b', 1.0)
    ...     for key in range(1000)
    ... )
    >>> 700 < wins < 800
    True
    """
    uniform = (rank_weight(key, name) + 1) / (WORD_MASK + 2)
    return weight / -log(uniform)


def estimate(
    candidate: Candidate,
    demand: Demand,
    speed: ServiceSpeed,
    is_owner: bool,
) -> RankedCandidate:
    """Return a candidate with its predicted time and cost."""
    unread = demand.unread_tokens(cached=is_owner or candidate.cached)
    pending_share = URGENT_WAIT_SHARE if demand.urgent else 1.0
    waiting = unread + pending_share * candidate.pending_tokens
    prefill_s = speed.prefill_s(waiting)
    overflow = max(0, candidate.in_flight + 1 - candidate.slots)
    queueing_s = overflow * speed.run_s / max(1, candidate.slots)
    crowding_s = 0.0
    if speed.tokens_per_s:
        stream_delay_s = STREAM_DELAY_SHARE * speed.prefill_s(unread)
        crowding_s = candidate.in_flight * (
            CROWDING_PER_REQUEST_S + stream_delay_s
        )
        crowding_s += FULL_PENALTY_S if overflow else 0.0
    raw_s = speed.first_s + prefill_s + queueing_s + candidate.delay_s
    predicted_s = max(speed.first_s, raw_s) + candidate.away_s
    # A negative delay does not lower the cost: that a busy upstream was faster
    # than predicted is no reason to prefer it.
    early_s = min(0.0, candidate.delay_s)
    cost_s = predicted_s - early_s + crowding_s + candidate.penalty_s
    return RankedCandidate(candidate, predicted_s, cost_s, unread)


def near_best(
    ranked: list[RankedCandidate], near_s: float = NEAR_BEST_S
) -> list[RankedCandidate]:
    """Return the candidates whose cost is within `near_s` of the best."""
    limit_s = ranked[0].cost_s + near_s
    return [entry for entry in ranked if entry.cost_s <= limit_s]


@dataclass(frozen=True)
class CostBound:
    """Lower bound of the cost of upstreams without the prefix cached.

    A search for the best upstream uses it to skip others. Delays and penalties
    only add to it. It must follow each change of `estimate`.

    Parameters
    ----------
    idle_s : float
        Cost at an idle upstream.
    token_s : float
        Cost of each pending token.
    request_s : float
        Cost of each request in flight.
    full_s : float
        Cost of an upstream without a free slot.
    run_s : float
        Seconds that a request occupies a slot.
    """

    idle_s: float
    token_s: float
    request_s: float
    full_s: float
    run_s: float

    @classmethod
    def of(cls, demand: Demand, speed: ServiceSpeed) -> Self:
        """Return the bound for a demand."""
        unread_s = speed.prefill_s(demand.unread_tokens(cached=False))
        pending_share = URGENT_WAIT_SHARE if demand.urgent else 1.0
        request_s = CROWDING_PER_REQUEST_S + STREAM_DELAY_SHARE * unread_s
        reads = bool(speed.tokens_per_s)
        return cls(
            idle_s=speed.first_s + unread_s,
            token_s=speed.prefill_s(pending_share),
            request_s=request_s if reads else 0.0,
            full_s=FULL_PENALTY_S if reads else 0.0,
            run_s=speed.run_s,
        )

    def cost_s(self, slots: int, in_flight: int) -> float:
        """Return the bound for a number of requests, without their tokens."""
        cost_s = self.idle_s + self.request_s * in_flight
        overflow = in_flight + 1 - slots
        if overflow > 0:
            cost_s += self.full_s + overflow * self.run_s / max(1, slots)
        return cost_s

    def first_event_s(self, slots: int, in_flight: int) -> float:
        """Return the predicted time to the first event of such an upstream."""
        overflow = max(0, in_flight + 1 - slots)
        return self.idle_s + overflow * self.run_s / max(1, slots)


def reread_cost_s(demand: Demand, speed: ServiceSpeed) -> float:
    """Return the cost that a repeated prefill of the prefix causes others."""
    reread_tokens = demand.unread_tokens(cached=False) - demand.unread_tokens(
        cached=True
    )
    return REREAD_WEIGHT * speed.prefill_s(reread_tokens)
