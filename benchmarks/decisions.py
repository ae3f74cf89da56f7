"""What a decision costs, by the number of upstreams.

``python -m benchmarks.decisions`` prints microseconds for each decision,
``--picker-only`` those of a region's picker.
"""

import sys
import time
from dataclasses import dataclass, replace
from random import Random

import defopt

from benchmarks.assignments import time_assignments
from godwitshunt.manifest import Objective
from godwitshunt.membership.views import (
    RegionSummary,
    RegionView,
    UpstreamView,
)
from godwitshunt.routing import RouteRequest, choose
from godwitshunt.settings import Address

MICROSECONDS = 1_000_000
ADDRESS = Address(host='127.0.0.1', port=1)
MODELS = ('model-1', 'model-2', 'model-3', 'model-4')
PREFIXES = 400
PREFIX_BLOCKS = 24
CACHED_PREFIXES = 30
OBJECTIVE = Objective(latency=1.0, cost=0.1, share_away=1.0)


@dataclass(frozen=True)
class Size:
    """How much a VM knows.

    Parameters
    ----------
    upstreams : int
        Upstreams of its own region.
    others : int
        Other regions, each with a summary of every model.
    """

    name: str
    upstreams: int
    others: int


SIZES = (
    Size('3 upstreams, 2 regions', 3, 2),
    Size('130 upstreams', 130, 0),
    Size('130 and 18 regions', 130, 18),
    Size('2,500 in one region', 2500, 0),
)
ASSIGNMENT_SIZES = (62, 2500)


def make_view(size: Size, random: Random) -> RegionView:
    """Return a view whose upstreams each have one of the models."""
    upstreams = tuple(
        UpstreamView(
            name=f'engine-{number}',
            region='here',
            service='chat',
            address=ADDRESS,
            incarnation=1,
            models=frozenset((random.choice(MODELS),)),
            slots=32,
            running=random.randrange(32),
            queued=random.randrange(3),
            queued_tokens=random.randrange(3000),
            cached_prefixes=cached_blocks(random),
            prefill_tokens_per_s=20000.0,
        )
        for number in range(size.upstreams)
    )
    summaries = tuple(
        RegionSummary(
            region=f'region-{region}',
            service='chat',
            model=model,
            free_slots=100,
            slots=1000,
            wait_s=0.1,
            price=1.0,
            round_trip_s=0.04,
            age_s=1.0,
            vms=tuple((f'vm-{region}-{vm}', ADDRESS) for vm in range(25)),
        )
        for region in range(size.others)
        for model in MODELS
    )
    return RegionView('here', upstreams, summaries)


def cached_blocks(random: Random) -> frozenset[int]:
    """Return the blocks of some whole prefixes."""
    firsts = random.sample(range(PREFIXES), CACHED_PREFIXES)
    return frozenset(
        first * PREFIX_BLOCKS + block
        for first in firsts
        for block in range(PREFIX_BLOCKS)
    )


def make_request(random: Random) -> RouteRequest:
    """Return a request for one of the models and prefixes."""
    first = random.randrange(PREFIXES) * PREFIX_BLOCKS
    return RouteRequest(
        caller='ward',
        request_class='urgent',
        service='chat',
        model=random.choice(MODELS),
        home='here',
        allowed=frozenset(
            ('here', *(f'region-{number}' for number in range(18))),
        ),
        prefix_blocks=tuple(range(first, first + PREFIX_BLOCKS)),
        prompt_tokens=1600,
        output_tokens=200,
    )


def time_decisions(size: Size, count: int, *, changing: bool) -> float:
    """Return microseconds for each decision, after a first one of each kind.

    Parameters
    ----------
    changing : bool
        True where one upstream's load changes before each decision, as it
        does where each decision sends a request.
    """
    random = Random(1)
    view = make_view(size, random)
    requests = [make_request(random) for _ in range(PREFIXES)]
    for first in requests:
        choose(view, first, OBJECTIVE, random)
    spent_s = 0.0
    for number in range(count):
        if changing:
            view = changed_view(view, random)
        again = requests[number % len(requests)]
        begin_s = time.perf_counter()
        choose(view, again, OBJECTIVE, random)
        spent_s += time.perf_counter() - begin_s
    return spent_s / count * MICROSECONDS


def changed_view(view: RegionView, random: Random) -> RegionView:
    """Return a view in which one upstream got a request."""
    place = random.randrange(len(view.upstreams))
    upstreams = list(view.upstreams)
    upstreams[place] = replace(upstreams[place], sent_since=1)
    return RegionView(view.region, tuple(upstreams), view.summaries)


def measure(count: int = 2000, *, picker_only: bool = False) -> None:
    """Print what a decision costs.

    Parameters
    ----------
    count : int
        Decisions of each size.
    picker_only : bool
        Whether to measure the choices of a region's picker only.
    """
    if not picker_only:
        measure_decisions(count)
    measure_assignments(max(1, count // 10))


def measure_decisions(count: int) -> None:
    """Print what a decision among the upstreams of a view costs."""
    sys.stdout.write(f'{"size":26}{"same view":>12}{"changing":>12}  (µs)\n')
    for size in SIZES:
        same = time_decisions(size, count, changing=False)
        changing = time_decisions(size, count, changing=True)
        sys.stdout.write(f'{size.name:26}{same:12.1f}{changing:12.1f}\n')


def measure_assignments(count: int) -> None:
    """Print what a choice of a region's picker costs."""
    for size in ASSIGNMENT_SIZES:
        sys.stdout.write(f'{size:,} upstreams'.ljust(26))
        sys.stdout.write(f'{"choose":>12}{"assign":>12}  (µs)\n')
        for name, choose_us, assign_us in time_assignments(size, count):
            sys.stdout.write(f'{name:26}{choose_us:12.1f}{assign_us:12.1f}\n')


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(measure))


if __name__ == '__main__':
    main()
