"""Engines whose memory is filled before their slots.

An engine of 12 slots and 305,617 tokens holds 24 requests of 383 tokens, but
only 18 of 17,000 tokens with different prefixes. A request beyond its memory
preempts another one in mid-stream, whose prompt is prefilled again.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from random import Random

import pytest

from godwitshunt.manifest import Engine, Service
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import NoPlace, SendHere
from godwitshunt.picking.tests.region import PickedRegion, engine, revision
from godwitshunt.registry.records import MemoryClaim
from godwitshunt.routing.engine_memory import memory_claim
from godwitshunt.routing.selection import Demand

MEMORY_TOKENS = 305_617
SLOTS = 12
STEP_S = 0.02
# Long prompts of 200 subjects: some requests share a prefix, most do not.
SUBJECTS = 200


def claim_of(demand: Demand, choice: SendHere) -> MemoryClaim:
    """Return what an entry VM reports of a request that it sends."""
    return memory_claim(
        Demand(
            demand.prompt_tokens,
            demand.shared_tokens,
            demand.shared_key,
            reserved_tokens=choice.reserved_tokens,
        )
    )


@dataclass
class Running:
    """A request that runs at an engine.

    Parameters
    ----------
    tokens : int
        Its prompt without the shared prefix, and its answer as it turns out.
    """

    instance: str
    demand: Demand
    tokens: int
    ends_s: float
    entry: object
    number: int


@dataclass
class Load:
    """Arrivals above capacity, and the memory that they take at engines."""

    region: PickedRegion
    entries: list
    random: Random
    engines: int
    running: list[Running] = field(default_factory=list)
    peak_tokens: int = 0
    peak_requests: int = 0
    sent: int = 0
    refused: int = 0
    announced: int = 0

    async def exchange(self) -> None:
        """Let the engines announce themselves and all VMs poll."""
        for number in range(self.engines):
            self.announced += 1
            announcement = engine(
                f'i-{number}', slots=SLOTS, sequence=self.announced
            )
            self.region.announce(1, announcement)
        await self.region.settle(*self.entries)

    def demand(self) -> Demand:
        """Return a request: two in three are short."""
        if self.random.random() < 2 / 3:
            return Demand(383, 92, 0x91BD)
        prompt_tokens = self.random.choice((17_020, 17_020, 30_000, 53_200))
        return Demand(prompt_tokens, 13_300, self.random.randrange(SUBJECTS))

    async def arrive(self) -> None:
        """Let a request arrive, and send it where the picker says."""
        demand = self.demand()
        entry = self.random.choice(self.entries)
        choice = await entry.request_destination(demand, output_tokens=800)
        if isinstance(choice, NoPlace):
            self.refused += 1
            return
        instance = choice.upstream.announcement.incarnation
        answer_tokens = self.random.randrange(100, 400)
        claim = claim_of(demand, choice)
        number = entry.begin(instance, 0, claim)
        shared_tokens = claim.shared_tokens
        self.sent += 1
        self.running.append(
            Running(
                instance,
                demand,
                demand.prompt_tokens - shared_tokens + answer_tokens,
                self.region.timer.now() + self.random.uniform(1, 3),
                entry,
                number,
            )
        )

    def end(self) -> None:
        """End the requests whose answers are complete."""
        now_s = self.region.timer.now()
        ended = [each for each in self.running if each.ends_s <= now_s]
        for request in ended:
            self.running.remove(request)
            request.entry.end(request.instance, request.number)

    def measure(self) -> None:
        """Update the peaks from what runs now."""
        tokens = defaultdict(int)
        prefixes = defaultdict(dict)
        requests = defaultdict(int)
        for request in self.running:
            tokens[request.instance] += request.tokens
            requests[request.instance] += 1
            if request.demand.has_affinity:
                key = request.demand.shared_key
                prefixes[request.instance][key] = request.demand.shared_tokens
        for instance, known in prefixes.items():
            tokens[instance] += sum(known.values())
        self.peak_tokens = max(self.peak_tokens, *tokens.values(), 0)
        self.peak_requests = max(self.peak_requests, *requests.values(), 0)


def answer(known: bool, service: Service) -> bool:
    """Return the same for every service."""
    return known


async def start_load(
    seed: int,
    *,
    memory_bound: bool,
    engines: int = 4,
    memory_tokens: int = MEMORY_TOKENS,
) -> Load:
    """Start engines, a picker and entry VMs."""
    region = PickedRegion()
    memory = Engine(slots=SLOTS, memory_tokens=memory_tokens)
    region.revision = revision(1, memory)
    for picker in region.pickers.values():
        picker.picker.is_memory_bound = partial(answer, memory_bound)
    entries = [region.start_entry(100 + each) for each in range(6)]
    load = Load(region, entries, Random(seed), engines)
    await load.exchange()
    return load


async def play(load: Load, seconds: float, per_step: int) -> None:
    """Let requests arrive for some time."""
    for step in range(int(seconds / STEP_S)):
        if not step % 10:
            await load.exchange()
        load.end()
        for _ in range(per_step):
            await load.arrive()
        load.measure()
        load.region.timer.advance(STEP_S)


@pytest.mark.parametrize('seed', range(4))
async def test_no_engine_gets_more_than_its_memory(seed):
    """Requests arrive at three times the rate that the engines serve."""
    load = await start_load(seed, memory_bound=True)
    await play(load, seconds=6, per_step=3)
    assert load.refused > load.sent / 3
    assert load.peak_tokens <= MEMORY_TOKENS
    # The memory is used, too.
    assert load.peak_tokens > 0.9 * MEMORY_TOKENS


async def test_the_load_is_beyond_the_memory_without_the_bound():
    """Otherwise the test above would show nothing."""
    load = await start_load(0, memory_bound=False)
    await play(load, seconds=6, per_step=3)
    assert load.peak_tokens > MEMORY_TOKENS


async def fill(load: Load, instance: str, tokens: int, count: int = 1) -> None:
    """Let requests without shared prefixes run at an engine."""
    for _ in range(count):
        load.entries[0].begin(instance, 0, MemoryClaim(tokens))
    load.region.timer.advance(STEP_S)


async def test_long_prompt_goes_where_room_is():
    """Three engines have few requests with long prompts, one many short ones.

    By slots and prefill the three look better.
    """
    load = await start_load(0, memory_bound=True)
    for number in range(3):
        await fill(load, f'i-{number}', 52_000, count=5)
    await fill(load, 'i-3', 433, count=10)
    choice = await load.entries[1].request_destination(Demand(53_200))
    assert choice.upstream.announcement.incarnation == 'i-3'
    short = await load.entries[1].request_destination(Demand(383))
    assert short.upstream.announcement.incarnation != 'i-3'


async def test_long_prompt_waits_for_memory_and_then_runs():
    """No engine has room; one request ends."""
    load = await start_load(0, memory_bound=True, engines=1)
    await fill(load, 'i-0', 53_200, count=4)
    number = load.entries[0].begin('i-0', 0, MemoryClaim(53_200))
    load.region.timer.advance(STEP_S)
    demand = Demand(53_200)
    assert isinstance(
        await load.entries[1].request_destination(demand), NoPlace
    )
    load.entries[0].end('i-0', number)
    load.region.timer.advance(STEP_S)
    choice = await load.entries[1].request_destination(demand)
    assert isinstance(choice, SendHere)


async def test_request_larger_than_an_engine_runs_on_an_empty_one():
    """What a caller states may be wrong; it must not be refused for ever."""
    load = await start_load(
        0, memory_bound=True, engines=1, memory_tokens=5_000
    )
    choice = await load.entries[0].request_destination(Demand(9_000))
    assert choice.reserved_tokens == 5_000
    refused = await load.entries[1].request_destination(Demand(383))
    assert isinstance(refused, NoPlace)


async def test_requests_with_one_prefix_fit_together():
    """Counted with whole prompts, 17 would fill the memory; 24 have room."""
    load = await start_load(0, memory_bound=True, engines=1)
    shared = Demand(17_020, 13_300, 7)
    for _ in range(24):
        choice = await load.entries[0].request_destination(
            shared, output_tokens=300
        )
        assert isinstance(choice, SendHere)
        load.entries[0].begin('i-0', 0, claim_of(shared, choice))
    total = load.region.controls[1].ledger.total('i-0')
    assert total.reserved_tokens == 13_300 + 24 * 4_020


async def test_answers_are_reserved_as_long_as_they_have_been():
    """Callers state 4,000 tokens, and the answers have 320."""
    load = await start_load(0, memory_bound=True)
    entry = load.entries[0]
    stated = await entry.request_destination(Demand(383), output_tokens=4_000)
    assert stated.reserved_tokens == 4_383
    entry.client.report_attempt(
        AttemptReport(
            'i-0',
            'llm',
            AttemptResult.answered,
            0.1,
            0.5,
            0.1,
            route='r',
            answer_tokens=320,
        )
    )
    load.region.timer.advance(STEP_S)
    learned = await entry.request_destination(Demand(383), output_tokens=4_000)
    assert learned.reserved_tokens == 383 + 320
    bounded = await entry.request_destination(Demand(383), output_tokens=100)
    assert bounded.reserved_tokens == 383 + 100
