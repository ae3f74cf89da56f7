"""Which upstream, or which region, gets a request of a route; pure.

Each candidate's time to the first event is predicted from what is known of
its load, and the shortest one is taken. A prompt's shared parts are expected
at the one upstream of all regions that rendezvous hashing ranks first for
them, so that VMs agree on it without a word; where that one is busy, reading
the parts again elsewhere is weighed against waiting.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998; Mirrokni, Thorup and Zadimoghaddam,
"Consistent hashing with bounded loads", SODA 2018.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import log

from godwitshunt.routing.hashing import WORD, rank_weight

# Prompt parts below this are read in a few milliseconds; bringing them to
# their upstream would only concentrate load. In tokens.
MIN_SHARED_TOKENS = 1500
# Candidates within this of the best are drawn from at random, or VMs that
# decide on the same news would all choose the same one. In seconds.
NEAR_BEST_S = 0.01
# Each request that an engine runs slows the others: a step takes longer with
# each. By so many seconds a candidate is worse for each request in flight. With
# three times as much, requests left engines that kept their prompts for emptier
# ones: over the engine model at 2.6 times the load of a region (8 seeds), 0.76
# of long prompts and 0.94 of short ones came in time, now 0.85 and 0.98.
CROWDING_S = 0.004
# An engine goes on with the prompt that it reads, however urgent what comes
# after it; only what has not begun is passed by. So this share of the prompts
# that wait is ahead of an urgent request. With less, more of them are taken in
# a peak than come in time; with more, engines that would serve them refuse.
# Over the engine model, with 0.3, 0.6 and 1: at 3.2 times a region's load 0.53,
# 0.64 and 0.58 of long prompts came in time, at 4 times 0.91, 0.83 and 0.73 of
# short ones.
URGENT_WAIT_SHARE = 0.5
# Reading a prompt holds up every stream that runs beside it; this share of
# their common delay counts.
HOLD_UP_SHARE = 0.05
# At an engine whose slots are all taken a request waits for one, or pushes out
# a less urgent one, which is read in again. The time of the former is in the
# prediction; for the latter it is worse by so many seconds.
FULL_S = 0.1
# Where an upstream keeps a prompt's shared parts, reading them again at
# another one takes engine time from everybody there and pushes other parts
# out of its memory. So it counts this many times more than the delay that it
# causes the request itself, as long as one that keeps them is in time with
# room to spare: below this share of the objective. Over the engine model (8
# seeds of 8 s) 73,600 tokens are read again on a calm day for 100,400, and
# 0.934 of long prompts come in time for 0.922; in peaks little changes.
# Without the bound requests of a peak waited for the same few engines.
READ_AGAIN_WEIGHT = 2.0
SPARE_SHARE = 0.4
# Each token of a prompt is compared with all before it: so a prompt of n
# tokens, k of them kept, takes as long as this times (n*n - k*k) tokens more.
# From an engine that showed nothing for 1.6 s while it read 57,634 tokens.
PAIR_TOKENS = 8.2e-6


@dataclass(frozen=True)
class ServiceSpeed:
    """What upstreams of a service take when nothing waits.

    Parameters
    ----------
    first_s : float
        Seconds to an answer, or to a stream's first event, without prompt.
    tokens_per_s : float
        Prompt tokens that one reads in a second; 0 where there are none.
    run_s : float
        Seconds that a request holds a slot.
    """

    first_s: float
    tokens_per_s: float
    run_s: float

    def prefill_s(self, tokens: float) -> float:
        """Return the seconds that reading tokens takes."""
        return tokens / self.tokens_per_s if self.tokens_per_s else 0.0


@dataclass(frozen=True)
class Demand:
    """What a request asks of an upstream.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to read.
    shared_tokens : int
        Those of them that an upstream may have cached.
    shared_key : int or None
        Names the shared parts.
    urgent : bool
        True for requests of the first rank, which others wait for.
    objective_s : float
        Seconds to the first event within which it is in time; 0 where what
        reading parts again costs others does not count.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    shared_key: int | None = None
    urgent: bool = False
    objective_s: float = 0.0

    def unread_tokens(self, *, cached: bool) -> int:
        """Return what reading the prompt takes, in tokens of a short one.

        Parameters
        ----------
        cached : bool
            True where the upstream keeps the shared parts.

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
        """True where cached parts are worth a detour."""
        is_long = self.shared_tokens >= MIN_SHARED_TOKENS
        return is_long and self.shared_key is not None


@dataclass(frozen=True)
class Candidate:
    """An upstream as it stands now.

    Parameters
    ----------
    instance, region : str
        Which incarnation, and where.
    slots : int
        Requests that it runs at once.
    in_flight : int
        Requests of all VMs that have not ended there.
    pending_tokens : float
        Prompt tokens of those that wait for their first event.
    delay_s : float
        By how much its first events came later than predicted, of late.
    away_s : float
        Seconds that reaching it takes, and that staying here is worth.
    cached : bool
        True where it is known to keep the shared parts.
    affinity : float
        Share of shared parts that it should own, against others.
    penalty_s : float
        Seconds by which it is worse than its load tells.
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


@dataclass(frozen=True)
class RankedCandidate:
    """A candidate with what speaks for it.

    Parameters
    ----------
    predicted_s : float
        Seconds to the first event, the way there and back included.
    cost_s : float
        The prediction and what else it costs to send a request there, in
        seconds; the least is chosen.
    unread_tokens : int
        What reading the rest of the prompt takes, in tokens of a short one.
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
    """Return candidates, the best first."""
    listed = list(candidates)
    owner = owner_of(listed, demand)
    ranked = [
        weigh(one, demand, speed, one.instance == owner) for one in listed
    ]
    if has_spare_holder(ranked, demand):
        ranked = [count_reading_again(one, demand, speed) for one in ranked]
    ranked.sort(key=lambda one: one.cost_s)
    return ranked


def has_spare_holder(ranked: list[RankedCandidate], demand: Demand) -> bool:
    """Tell whether one that keeps the parts is in time with room to spare."""
    limit_s = SPARE_SHARE * demand.objective_s
    return demand.has_affinity and any(
        one.candidate.cached and one.predicted_s < limit_s for one in ranked
    )


def count_reading_again(
    ranked: RankedCandidate,
    demand: Demand,
    speed: ServiceSpeed,
) -> RankedCandidate:
    """Add to the cost what reading parts again costs others."""
    if ranked.candidate.cached:
        return ranked
    parts = demand.unread_tokens(cached=False) - demand.unread_tokens(
        cached=True
    )
    again_s = READ_AGAIN_WEIGHT * speed.prefill_s(parts)
    return replace(ranked, cost_s=ranked.cost_s + again_s)


def owner_of(candidates: list[Candidate], demand: Demand) -> str | None:
    """Return the upstream that shared parts belong to.

    None for short ones, and where a candidate keeps them already: the place
    that was found when the owner was busy, or not there, stays the place.
    """
    if not demand.has_affinity or not candidates:
        return None
    if any(one.cached for one in candidates):
        return None
    owner = max(
        candidates,
        key=lambda one: (
            weighted_rank(demand.shared_key, one.instance, one.affinity),
            one.instance,
        ),
    )
    return owner.instance


def weighted_rank(key: int, name: str, weight: float) -> float:
    """Return a name's rank for a key; names win in proportion to weights.

    The weighted form of rendezvous hashing: the draw of each name is spread
    evenly over 0 to 1, and its logarithm is divided by the weight.

    Examples
    --------
    >>> wins = sum(
    ...     weighted_rank(key, 'a', 3.0) > weighted_rank(key, 'b', 1.0)
    ...     for key in range(1000)
    ... )
    >>> 700 < wins < 800
    True
    """
    draw = (rank_weight(key, name) + 1) / (WORD + 2)
    return weight / -log(draw)


def weigh(
    candidate: Candidate,
    demand: Demand,
    speed: ServiceSpeed,
    owns: bool,
) -> RankedCandidate:
    """Return a candidate with its prediction and its cost."""
    unread = demand.unread_tokens(cached=owns or candidate.cached)
    ahead = URGENT_WAIT_SHARE if demand.urgent else 1.0
    waiting = unread + ahead * candidate.pending_tokens
    prefill_s = speed.prefill_s(waiting)
    over = max(0, candidate.in_flight + 1 - candidate.slots)
    queueing_s = over * speed.run_s / max(1, candidate.slots)
    crowd_s = 0.0
    if speed.tokens_per_s:
        held_up = HOLD_UP_SHARE * speed.prefill_s(unread)
        crowd_s = candidate.in_flight * (CROWDING_S + held_up)
        crowd_s += FULL_S if over else 0.0
    raw_s = speed.first_s + prefill_s + queueing_s + candidate.delay_s
    predicted_s = max(speed.first_s, raw_s) + candidate.away_s
    # That a busy one was faster than predicted is no reason to prefer it.
    early_s = min(0.0, candidate.delay_s)
    cost_s = predicted_s - early_s + crowd_s + candidate.penalty_s
    return RankedCandidate(candidate, predicted_s, cost_s, unread)


def near_best(
    ranked: list[RankedCandidate], near_s: float = NEAR_BEST_S
) -> list[RankedCandidate]:
    """Return those that are as good as the best, within some seconds."""
    limit_s = ranked[0].cost_s + near_s
    return [one for one in ranked if one.cost_s <= limit_s]
