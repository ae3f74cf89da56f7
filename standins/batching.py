"""A model engine's continuous batching and prefix cache, as a small model."""

import asyncio
import heapq
import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from godwitshunt.exchange.prompts import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN

BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
LOAD_SAMPLES = 1024


@dataclass
class Job:
    """One prompt's way through the engine.

    Parameters
    ----------
    blocks : tuple of int
        Hashes of the prompt's blocks.
    prompt_tokens, output_tokens : int
        Lengths; a resumed job has fewer tokens left to make.
    made : int
        Tokens made and not yet taken.
    """

    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    made: int = 0
    total_made: int = 0
    ready_s: float = 0.0
    cancelled: bool = False
    news: asyncio.Event = field(default_factory=asyncio.Event)

    async def take(self) -> int:
        """Wait for tokens; return how many were made since the last time."""
        await self.news.wait()
        self.news.clear()
        count = self.made
        self.made = 0
        return count

    @property
    def finished(self) -> bool:
        """Whether every token was made."""
        return self.total_made >= self.output_tokens


@dataclass
class PrefixCache:
    """Prompt blocks in limited memory, least recently used out first."""

    capacity: int
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    added: list[int] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)

    def admit(self, blocks: tuple[int, ...]) -> int:
        """Cache a prompt; return how many of its first blocks were cached."""
        known = itertools.takewhile(self.blocks.__contains__, blocks)
        hits = sum(1 for _ in known)
        for block in blocks:
            if block not in self.blocks:
                self.added.append(block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            oldest, _ = self.blocks.popitem(last=False)
            self.dropped.append(oldest)
        return hits

    def take_news(self, limit: int) -> tuple[list[int], list[int]]:
        """Return what entered and left since the last time, bounded."""
        added = self.added[:limit]
        dropped = self.dropped[:limit]
        self.added = self.added[limit:]
        self.dropped = self.dropped[limit:]
        return added, dropped


@dataclass
class BatchingModel:
    """Requests that share an engine.

    Parameters
    ----------
    slots : int
        Requests that decode together.
    prefill_rate : float
        Prompt tokens a second, one prompt at a time.
    decode_rate : float
        Tokens a second of each running request.
    cache : PrefixCache
        Blocks that need no prefill.
    load_lag_s : float
        Seconds by which the reported load is late.
    """

    slots: int
    prefill_rate: float
    decode_rate: float
    cache: PrefixCache
    load_lag_s: float = 0.0
    running: set[int] = field(default_factory=set)
    jobs: dict[int, Job] = field(default_factory=dict)
    queue: list[tuple[int, int]] = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    prefill_free_s: float = 0.0
    samples: deque = field(
        default_factory=lambda: deque(maxlen=LOAD_SAMPLES),
    )

    def submit(self, job: Job) -> int:
        """Queue a job by priority; return its number."""
        number = next(self.numbers)
        self.jobs[number] = job
        heapq.heappush(self.queue, (-job.priority, number))
        return number

    def cancel(self, number: int) -> None:
        """Drop a job; its slot is free at once."""
        self.running.discard(number)
        job = self.jobs.pop(number, None)
        if job is not None:
            job.cancelled = True
            job.news.set()

    async def run(self) -> None:
        """Make tokens for ever."""
        loop = asyncio.get_running_loop()
        period_s = 1 / self.decode_rate
        last_s = loop.time()
        while True:
            await asyncio.sleep(max(0.0, last_s + period_s - loop.time()))
            now = loop.time()
            # A process that woke late makes up for the tokens that it owes.
            due = max(1, int((now - last_s) / period_s))
            last_s += due * period_s
            self.fill_slots(now)
            self.decode(now, due)
            self.samples.append((now, *self.load()))

    def fill_slots(self, now: float) -> None:
        """Start waiting jobs in free slots; their prefill queues up."""
        while self.queue and len(self.running) < self.slots:
            _, number = heapq.heappop(self.queue)
            job = self.jobs.get(number)
            if job is None:
                continue
            cached = self.cache.admit(job.blocks) * BLOCK_TOKENS
            uncached = max(1, job.prompt_tokens - cached)
            begin_s = max(now, self.prefill_free_s)
            job.ready_s = begin_s + uncached / self.prefill_rate
            self.prefill_free_s = job.ready_s
            self.running.add(number)

    def decode(self, now: float, due: int) -> None:
        """Make tokens for every running job whose prefill is done."""
        for number in tuple(self.running):
            job = self.jobs[number]
            if job.ready_s > now:
                continue
            count = min(due, job.output_tokens - job.total_made)
            job.made += count
            job.total_made += count
            job.news.set()
            if job.finished:
                self.running.discard(number)
                self.jobs.pop(number)

    def load(self) -> tuple[int, int, int]:
        """Return running and waiting jobs, and tokens that wait."""
        waiting = [
            self.jobs[number] for _, number in self.queue if number in self.jobs
        ]
        tokens = sum(job.prompt_tokens for job in waiting)
        return len(self.running), len(waiting), tokens

    def lagged_load(self, now: float) -> tuple[float, int, int, int]:
        """Return age in seconds, running, waiting and waiting tokens."""
        old = (now, 0, 0, 0)
        for sample in self.samples:
            if sample[0] > now - self.load_lag_s:
                break
            old = sample
        if not self.load_lag_s and self.samples:
            old = self.samples[-1]
        return (now - old[0], *old[1:])
