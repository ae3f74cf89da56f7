"""Which upstream, or which region, gets a request of a route; pure.

Each candidate's time to the first event is predicted from what is known of
its load, and the shortest one is taken. A prompt's shared parts are expected
at the upstream that rendezvous hashing ranks first for them in its region, so
that VMs agree on it without a word; where that one is busy, reading the parts
again elsewhere is weighed against waiting.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998; Mirrokni, Thorup and Zadimoghaddam,
"Consistent hashing with bounded loads", SODA 2018.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from godwitshunt.routing.hashing import rank_weight

# Prompt parts below this are read in a few milliseconds; bringing them to
# their upstream would only concentrate load. In tokens.
LEAST_SHARED_TOKENS = 1500
# Candidates within this of the best are drawn from at random, or VMs that
# decide on the same news would all choose the same one. In seconds.
NEAR_S = 0.01


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
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    shared_key: int | None = None

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
    slowness : float
        Its real over its predicted times, 1 for an ordinary one.
    away_s : float
        Seconds that reaching it takes, and that staying here is worth.
    cached : bool
        True where this VM knows that it has the shared parts.
    penalty_s : float
        Seconds by which it is worse than its load tells.
    """

    instance: str
    region: str
    slots: int
    in_flight: int
    pending_tokens: float
    slowness: float = 1.0
    away_s: float = 0.0
    cached: bool = False
    penalty_s: float = 0.0


@dataclass(frozen=True)
class Ranked:
    """A candidate with its predicted time to the first event, in seconds."""

    candidate: Candidate
    predicted_s: float


def rank(
    candidates: Iterable[Candidate],
    demand: Demand,
    speed: ServiceSpeed,
) -> list[Ranked]:
    """Return candidates, the best first."""
    listed = list(candidates)
    owners = owners_of(listed, demand)
    ranked = [
        Ranked(one, predict_s(one, demand, speed, one.instance in owners))
        for one in listed
    ]
    ranked.sort(key=lambda one: one.predicted_s)
    return ranked


def owners_of(candidates: list[Candidate], demand: Demand) -> frozenset[str]:
    """Return the upstream of each region that the shared parts belong to."""
    if not demand.has_affinity:
        return frozenset()
    best: dict[str, tuple[int, str]] = {}
    for one in candidates:
        weight = (rank_weight(demand.shared_key, one.instance), one.instance)
        best[one.region] = max(best.get(one.region, weight), weight)
    return frozenset(instance for _, instance in best.values())


def predict_s(
    candidate: Candidate,
    demand: Demand,
    speed: ServiceSpeed,
    owns: bool,
) -> float:
    """Return the seconds until the first event, the way there included."""
    unread = demand.prompt_tokens
    if owns or candidate.cached:
        unread -= demand.shared_tokens
    reading_s = 0.0
    if speed.tokens_per_s:
        waiting = unread + candidate.pending_tokens
        reading_s = waiting / speed.tokens_per_s
    over = max(0, candidate.in_flight + 1 - candidate.slots)
    queueing_s = over * speed.run_s / max(1, candidate.slots)
    busy_s = (speed.first_s + reading_s + queueing_s) * candidate.slowness
    return busy_s + candidate.away_s + candidate.penalty_s


def near_best(ranked: list[Ranked]) -> list[Ranked]:
    """Return those that are as good as the best, within `NEAR_S`."""
    limit_s = ranked[0].predicted_s + NEAR_S
    return [one for one in ranked if one.predicted_s <= limit_s]
