"""Traces and manifests of a deployment, from a fixed seed."""

import hashlib
import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from godwitshunt.manifest import Manifest
from godwitshunt.replay.deployments import (
    CHAT,
    Deployment,
    RegionProfile,
    WorkProfile,
)
from godwitshunt.replay.traces import TraceRequest

LONGEST_TOKENS = 8192
CACHED_SHARE = 0.8
ROUND_TRIP_MS = 40.0
MILLISECOND_DIGITS = 3
UNLIMITED_PER_S = 10000


@dataclass(frozen=True)
class Demand:
    """How much is asked for, and when.

    Parameters
    ----------
    requests_per_s : float
        Mean over the trace and all regions.
    duration_s : float
        Length of the trace; one day's curve is pressed into it.
    swing : float
        How far each region's rate swings about its mean, 0 to 1.
    seed : int
        Equal seeds make equal traces.
    """

    requests_per_s: float
    duration_s: float
    swing: float = 0.0
    seed: int = 1

    def rate_per_s(self, mean_per_s: float, peak: float, now_s: float) -> float:
        """Return a region's rate at a time of the trace."""
        turn = 2 * math.pi * (now_s / self.duration_s - peak)
        return mean_per_s * (1 + self.swing * math.cos(turn))


def capacity_per_s(deployment: Deployment) -> float:
    """Return the requests a second that fill every engine's slots.

    Plain calls take no slot of an engine. Of the shared prompt starts the
    `CACHED_SHARE` is taken as cached, which is about what strict affinity
    reaches with the profiles' caches; a router that hits less has less
    capacity.
    """
    engine = deployment.engine
    held_s = sum(
        work.share * slot_s(deployment, work)
        for work in deployment.works
        if work.service == CHAT
    )
    servers = sum(region.model_servers for region in deployment.regions)
    return servers * engine.slots / held_s


def slot_s(deployment: Deployment, work: WorkProfile) -> float:
    """Return the mean seconds for which a kind of request holds a slot."""
    engine = deployment.engine
    # The mean of a log-normal length is its median times this factor.
    factor = math.exp(work.spread * work.spread / 2)
    uncached = work.prefix_tokens * (1 - CACHED_SHARE)
    prompt = uncached + work.own_tokens * factor
    prefill_s = prompt / engine.prefill_tokens_per_s
    decode_s = work.output_tokens * factor / engine.decode_tokens_per_s
    return prefill_s + decode_s


def generate_trace(
    deployment: Deployment,
    demand: Demand,
) -> tuple[TraceRequest, ...]:
    """Return a trace in the order of its arrivals.

    Examples
    --------
    >>> from godwitshunt.replay.deployments import QUICK_QUESTIONS
    >>> demand = Demand(requests_per_s=20, duration_s=10)
    >>> trace = generate_trace(QUICK_QUESTIONS, demand)
    >>> trace == generate_trace(QUICK_QUESTIONS, demand)
    True
    """
    servers = sum(region.model_servers for region in deployment.regions)
    requests = []
    for index, region in enumerate(deployment.regions):
        random = Random(demand.seed * len(deployment.regions) + index)
        mean_per_s = demand.requests_per_s * region.model_servers / servers
        for arrival_s in arrivals(demand, region, mean_per_s, random):
            requests.append(make_request(deployment, region, arrival_s, random))
    return tuple(sorted(requests, key=lambda request: request.arrival_s))


def arrivals(
    demand: Demand,
    region: RegionProfile,
    mean_per_s: float,
    random: Random,
) -> Iterator[float]:
    """Yield the arrivals of a Poisson process whose rate follows the day.

    Candidates come at the highest rate and are thinned (Lewis and Shedler,
    Naval Research Logistics Quarterly, 1979).
    """
    highest_per_s = mean_per_s * (1 + demand.swing)
    now_s = random.expovariate(highest_per_s)
    while now_s < demand.duration_s:
        rate = demand.rate_per_s(mean_per_s, region.peak, now_s)
        if random.random() * highest_per_s <= rate:
            yield round(now_s, MILLISECOND_DIGITS)
        now_s += random.expovariate(highest_per_s)


def make_request(
    deployment: Deployment,
    region: RegionProfile,
    arrival_s: float,
    random: Random,
) -> TraceRequest:
    """Return one request with lengths drawn at random."""
    shares = [work.share for work in deployment.works]
    work = random.choices(deployment.works, shares)[0]
    ranks = range(work.prefixes)
    popularity = [1 / (rank + 1) for rank in ranks]
    rank = random.choices(ranks, popularity)[0]
    caller = random.randrange(deployment.callers)
    own_tokens = draw_length(work.own_tokens, work.spread, random)
    return TraceRequest(
        arrival_s=arrival_s,
        caller=caller_name(region.name, caller),
        request_class=work.request_class,
        service=work.service,
        model=work.model,
        home=region.name,
        prefix=prefix_number(deployment, work, rank),
        prefix_tokens=work.prefix_tokens,
        prompt_tokens=work.prefix_tokens + own_tokens,
        output_tokens=draw_length(work.output_tokens, work.spread, random),
        deadline_s=work.deadline_s,
        idempotent=work.idempotent,
    )


def draw_length(median: int, spread: float, random: Random) -> int:
    """Return a length with a long tail; 0 where the median is."""
    if not median:
        return 0
    drawn = median * random.lognormvariate(0, spread)
    return min(LONGEST_TOKENS, max(1, round(drawn)))


def prefix_number(deployment: Deployment, work: WorkProfile, rank: int) -> int:
    """Return a number that no other kind of request uses."""
    before = 0
    for other in deployment.works:
        if other == work:
            break
        before += other.prefixes
    return before + rank


def caller_name(region: str, number: int) -> str:
    """Return a caller's name."""
    return f'{region}-desk-{number}'


def caller_key(name: str) -> str:
    """Return the key of a generated caller; such keys are no secret."""
    return f'key-of-{name}'


def is_restricted(deployment: Deployment, number: int) -> bool:
    """Return whether a caller is bound to its home region."""
    return number < round(deployment.restricted_share * deployment.callers)


def generate_manifest(deployment: Deployment, number: int = 1) -> Manifest:
    """Return a manifest under which the deployment's traces can be sent."""
    names = [region.name for region in deployment.regions]
    return Manifest(
        number=number,
        deployment=deployment.name,
        regions=tuple(
            {
                'name': region.name,
                'failure_domains': (f'{region.name}-1', f'{region.name}-2'),
                'price': region.price,
                'round_trip_ms': {
                    name: ROUND_TRIP_MS for name in names if name != region.name
                },
            }
            for region in deployment.regions
        ),
        services=(
            {'name': CHAT, 'kind': 'model'},
            {
                'name': deployment.plain_service,
                'kind': 'plain',
                'non_idempotent_methods': ('POST',),
            },
        ),
        models=({'name': 'chat-model', 'service': CHAT},),
        classes=tuple(
            {
                'name': work.request_class,
                'priority': work.priority,
                'deadline_s': work.deadline_s,
                'slot_share': work.slot_share,
            }
            for work in deployment.works
        ),
        residency=tuple(
            {'name': f'only-{name}', 'regions': (name,)} for name in names
        ),
        callers=tuple(
            make_caller(deployment, region, caller)
            for region in names
            for caller in range(deployment.callers)
        ),
        objective={
            'latency': deployment.latency,
            'cost': deployment.cost,
            'share_away': deployment.share_away,
        },
    )


def make_caller(deployment: Deployment, region: str, number: int) -> dict:
    """Return a caller of the manifest, limited by nothing but capacity."""
    name = caller_name(region, number)
    restricted = is_restricted(deployment, number)
    return {
        'name': name,
        'key_sha256': hashlib.sha256(caller_key(name).encode()).hexdigest(),
        'home': region,
        'request_class': deployment.works[0].request_class,
        'residency': f'only-{region}' if restricted else None,
        'requests_per_s': UNLIMITED_PER_S,
        'burst': UNLIMITED_PER_S,
    }
