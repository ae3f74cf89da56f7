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
from dataclasses import dataclass
from math import log

from godwitshunt.routing.hashing import WORD, rank_weight

# Prompt parts below this are read in a few milliseconds; bringing them to
# their upstream would only concentrate load. In tokens.
LEAST_SHARED_TOKENS = 1500
# Candidates within this of the best are drawn from at random, or VMs that
# decide on the same news would all choose the same one. In seconds.
NEAR_S = 0.01
# Each request that an engine runs slows the others: prompts are read between
# the tokens of running streams, and a step takes longer with each. By so many
# seconds a candidate is worse for each request in flight; at 20 more requests
# than another region's upstreams, that is twice the way there. It says where
# to go, not how long a first event takes: taken for a prediction, it refused a
# quarter of short questions, of which nine in ten would have been on time.
CROWDING_S = 0.012
# Prompts that wait at an engine are mostly less urgent than the most urgent
# requests, which go first; this share of them is ahead of those.
URGENT_WAIT_SHARE = 0.3
# Reading a prompt holds up every stream that runs beside it; this share of
# their common delay counts.
HOLD_UP_SHARE = 0.05


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
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    shared_key: int | None = None
    urgent: bool = False

    @property
    def has_affinity(self) -> bool:
        """True where cached parts are worth a detour."""
        is_long = self.shared_tokens >= LEAST_SHARED_TOKENS
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
        True where this VM knows that it has the shared parts.
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
class Ranked:
    """A candidate with what speaks for it.

    Parameters
    ----------
    predicted_s : float
        Seconds to the first event, the way there and back included.
    cost_s : float
        The prediction and what else it costs to send a request there, in
        seconds; the least is chosen.
    """

    candidate: Candidate
    predicted_s: float
    cost_s: float


def rank(
    candidates: Iterable[Candidate],
    demand: Demand,
    speed: ServiceSpeed,
) -> list[Ranked]:
    """Return candidates, the best first."""
    listed = list(candidates)
    owner = owner_of(listed, demand)
    ranked = [
        weigh(one, demand, speed, one.instance == owner) for one in listed
    ]
    ranked.sort(key=lambda one: one.cost_s)
    return ranked


def owner_of(candidates: list[Candidate], demand: Demand) -> str | None:
    """Return the upstream that shared parts belong to; None for short ones."""
    if not demand.has_affinity or not candidates:
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
) -> Ranked:
    """Return a candidate with its prediction and its cost."""
    unread = demand.prompt_tokens
    if owns or candidate.cached:
        unread -= demand.shared_tokens
    reading_s = 0.0
    if speed.tokens_per_s:
        ahead = URGENT_WAIT_SHARE if demand.urgent else 1.0
        waiting = unread + ahead * candidate.pending_tokens
        reading_s = waiting / speed.tokens_per_s
    over = max(0, candidate.in_flight + 1 - candidate.slots)
    queueing_s = over * speed.run_s / max(1, candidate.slots)
    crowd_s = 0.0
    if speed.tokens_per_s:
        held_up = HOLD_UP_SHARE * unread / speed.tokens_per_s
        crowd_s = candidate.in_flight * (CROWDING_S + held_up)
    raw_s = speed.first_s + reading_s + queueing_s + candidate.delay_s
    predicted_s = max(speed.first_s, raw_s) + candidate.away_s
    # That a busy one was faster than predicted is no reason to prefer it.
    early_s = min(0.0, candidate.delay_s)
    cost_s = predicted_s - early_s + crowd_s + candidate.penalty_s
    return Ranked(candidate, predicted_s, cost_s)


def near_best(ranked: list[Ranked]) -> list[Ranked]:
    """Return those that are as good as the best, within `NEAR_S`."""
    limit_s = ranked[0].cost_s + NEAR_S
    return [one for one in ranked if one.cost_s <= limit_s]
