"""Two deployments as profiles for the generator: quick questions, long reviews.

Servers by region, the classes of requests with their lengths, and when each
region has its daily peak. Lengths are log-normal: a few are very long.
"""

from dataclasses import dataclass
from types import MappingProxyType

CHAT = 'chat'


@dataclass(frozen=True)
class EngineProfile:
    """What a model engine can do.

    Parameters
    ----------
    slots : int
        Requests that it runs at once.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Prompt tokens a second in all, and output tokens a second by request.
    cache_tokens : int
        Prompt tokens that its prefix cache holds.
    """

    slots: int = 8
    prefill_tokens_per_s: float = 4000.0
    decode_tokens_per_s: float = 50.0
    cache_tokens: int = 24000


@dataclass(frozen=True)
class RegionProfile:
    """A region.

    Parameters
    ----------
    model_servers : int
        Model engines that stand in it.
    peak : float
        Time of its daily peak, as a share of the day.
    price : float
        Cost of 1,000 generated tokens.
    """

    name: str
    model_servers: int
    peak: float
    price: float = 1.0


@dataclass(frozen=True)
class WorkProfile:
    """A kind of request.

    Parameters
    ----------
    share : float
        Share of all requests.
    prefixes : int
        Distinct shared prompt starts; the n-th most popular is asked for in
        proportion to 1 / n.
    prefix_tokens, own_tokens, output_tokens : int
        Lengths: of the shared start, and medians of the rest and the answer.
    spread : float
        Standard deviation of the logarithm of the two medians' lengths.
    """

    request_class: str
    service: str
    share: float
    priority: int
    deadline_s: float
    slot_share: float = 1.0
    prefixes: int = 1
    prefix_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    spread: float = 0.7
    idempotent: bool = True

    @property
    def model(self) -> str | None:
        """Return the model's name; None for plain services."""
        return 'chat-model' if self.service == CHAT else None


@dataclass(frozen=True)
class Deployment:
    """A deployment.

    Parameters
    ----------
    callers : int
        Callers of each region.
    restricted_share : float
        Share of the callers whose requests are bound to their home.
    latency, cost, share_away : float
        The manifest's objective.
    """

    name: str
    plain_service: str
    regions: tuple[RegionProfile, ...]
    works: tuple[WorkProfile, ...]
    latency: float
    cost: float
    share_away: float
    engine: EngineProfile = EngineProfile()
    callers: int = 6
    restricted_share: float = 0.27


QUICK_QUESTIONS = Deployment(
    name='quick-questions',
    plain_service='directory',
    regions=(
        RegionProfile('kochi', 4, peak=0.4),
        RegionProfile('thiruvananthapuram', 3, peak=0.55),
        RegionProfile('kozhikode', 3, peak=0.7),
    ),
    works=(
        WorkProfile(
            request_class='urgent',
            service=CHAT,
            share=0.6,
            priority=5,
            deadline_s=10.0,
            prefixes=60,
            prefix_tokens=1536,
            own_tokens=40,
            output_tokens=60,
        ),
        WorkProfile(
            request_class='long',
            service=CHAT,
            share=0.08,
            priority=1,
            deadline_s=90.0,
            slot_share=0.5,
            prefixes=20,
            prefix_tokens=2048,
            own_tokens=600,
            output_tokens=400,
        ),
        WorkProfile(
            request_class='lookup',
            service='directory',
            share=0.27,
            priority=5,
            deadline_s=5.0,
        ),
        WorkProfile(
            request_class='page',
            service='directory',
            share=0.05,
            priority=7,
            deadline_s=5.0,
            idempotent=False,
        ),
    ),
    latency=1.0,
    cost=0.02,
    share_away=1.0,
)

LONG_REVIEWS = Deployment(
    name='long-reviews',
    plain_service='archive',
    regions=(
        RegionProfile('zagreb', 2, peak=0.35, price=1.0),
        RegionProfile('split', 2, peak=0.5, price=0.8),
        RegionProfile('rijeka', 2, peak=0.65, price=0.9),
    ),
    works=(
        WorkProfile(
            request_class='urgent',
            service=CHAT,
            share=0.4,
            priority=5,
            deadline_s=15.0,
            prefixes=24,
            prefix_tokens=1024,
            own_tokens=60,
            output_tokens=80,
        ),
        WorkProfile(
            request_class='long',
            service=CHAT,
            share=0.25,
            priority=1,
            deadline_s=300.0,
            slot_share=0.75,
            prefixes=12,
            prefix_tokens=3072,
            own_tokens=3000,
            output_tokens=600,
            spread=0.9,
        ),
        WorkProfile(
            request_class='lookup',
            service='archive',
            share=0.25,
            priority=5,
            deadline_s=5.0,
        ),
        WorkProfile(
            request_class='file',
            service='archive',
            share=0.1,
            priority=7,
            deadline_s=10.0,
            idempotent=False,
        ),
    ),
    latency=0.2,
    cost=1.0,
    share_away=4.0,
)

DEPLOYMENTS = MappingProxyType(
    {each.name: each for each in (QUICK_QUESTIONS, LONG_REVIEWS)},
)
