"""A small model of a batching engine, for measuring decisions only.

It has slots, a prefill that takes one prompt after the other, a prefix cache
of limited size that forgets what was used least lately, and a load report
that others see late.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from godwitshunt.replay.deployments import EngineProfile
from godwitshunt.replay.traces import TraceRequest

BLOCK_TOKENS = 64
PREFIX_STRIDE = 1000


def prompt_blocks(request: TraceRequest) -> tuple[int, ...]:
    """Return numbers that stand for the blocks of a request's prefix."""
    count = request.prefix_tokens // BLOCK_TOKENS
    first = (request.prefix + 1) * PREFIX_STRIDE
    return tuple(range(first, first + count))


@dataclass(eq=False)
class Job:
    """A request on its way.

    Parameters
    ----------
    deadline_s : float
        Moment at which it is given up.
    """

    request: TraceRequest
    priority: int
    slot_share: float
    allowed: frozenset[str]
    deadline_s: float
    blocks: tuple[int, ...]
    excluded: frozenset[str] = frozenset()
    visited: tuple[str, ...] = ()
    first_token_s: float | None = None
    end_s: float | None = None
    served_by: 'Engine | None' = None
    cached_tokens: int = 0
    refused: bool = False
    gone: bool = False
    sender: object = None
    noted_tokens: int = 0


@dataclass(frozen=True)
class Load:
    """A load report."""

    measured_s: float
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    cached: frozenset[int] = frozenset()


@dataclass(eq=False)
class Engine:
    """One engine; `events` of the loop drive it.

    Parameters
    ----------
    up : bool
        False while it is lost; requests to it fail at once.
    visible : Load
        The newest report that VMs have.
    """

    name: str
    region: str
    price: float
    profile: EngineProfile
    up: bool = True
    incarnation: int = 1
    running: list[Job] = field(default_factory=list)
    queue: list[Job] = field(default_factory=list)
    cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    prefill_free_s: float = 0.0
    backlog: dict[Job, int] = field(default_factory=dict)
    visible: Load = Load(measured_s=0.0)

    def start_next(self, now_s: float) -> list[tuple[Job, float, float]]:
        """Move queued jobs into free slots.

        Returns
        -------
        list of (Job, float, float)
            Each started job with the times of its first token and its end.
        """
        started = []
        while self.queue and len(self.running) < self.profile.slots:
            job = min(self.queue, key=queue_order)
            self.queue.remove(job)
            self.running.append(job)
            started.append((job, *self.prefill(job, now_s)))
        return started

    def prefill(self, job: Job, now_s: float) -> tuple[float, float]:
        """Return the times of a job's first token and its end."""
        request = job.request
        if request.model is None:
            end_s = now_s + 1 / self.profile.decode_tokens_per_s
            return end_s, end_s
        job.cached_tokens = self.use_cache(request)
        uncached = request.prompt_tokens - job.cached_tokens
        self.backlog[job] = uncached
        begin_s = max(now_s, self.prefill_free_s)
        self.prefill_free_s = (
            begin_s + uncached / self.profile.prefill_tokens_per_s
        )
        first_s = self.prefill_free_s + 1 / self.profile.decode_tokens_per_s
        decode_s = request.output_tokens / self.profile.decode_tokens_per_s
        return first_s, self.prefill_free_s + decode_s

    def use_cache(self, request: TraceRequest) -> int:
        """Return the cached tokens of a prompt, and keep its prefix."""
        hit = request.prefix in self.cache
        self.cache[request.prefix] = request.prefix_tokens
        self.cache.move_to_end(request.prefix)
        while sum(self.cache.values()) > self.profile.cache_tokens:
            self.cache.popitem(last=False)
        return request.prefix_tokens if hit else 0

    def leave(self, job: Job) -> None:
        """Free what a job holds."""
        self.backlog.pop(job, None)
        if job in self.running:
            self.running.remove(job)
        if job in self.queue:
            self.queue.remove(job)

    def uncached(self, request: TraceRequest) -> int:
        """Return the prompt tokens that are not cached now."""
        if request.prefix in self.cache:
            return request.prompt_tokens - request.prefix_tokens
        return request.prompt_tokens

    def measure(self, now_s: float) -> Load:
        """Return the present load."""
        waiting = sum(self.uncached(job.request) for job in self.queue)
        return Load(
            measured_s=now_s,
            running=len(self.running),
            queued=len(self.queue),
            queued_tokens=waiting + sum(self.backlog.values()),
            cached=self.cached_blocks(),
        )

    def cached_blocks(self) -> frozenset[int]:
        """Return the last block of each cached prefix; the others are lost."""
        return frozenset(
            (prefix + 1) * PREFIX_STRIDE + tokens // BLOCK_TOKENS - 1
            for prefix, tokens in self.cache.items()
        )

    def lose_all(self) -> list[Job]:
        """Stop; return the jobs that were here."""
        lost = self.running + self.queue
        self.running = []
        self.queue = []
        self.backlog = {}
        self.cache.clear()
        self.prefill_free_s = 0.0
        return lost


def queue_order(job: Job) -> tuple[int, float]:
    """Order by priority, then by arrival."""
    return (-job.priority, job.request.arrival_s)
