"""A model engine as the users' sheets describe it, in virtual time.

Running requests go on by one token a step; one prompt after the other is read
in chunks between the steps; running requests and kept prompt parts share the
memory, and the parts used longest ago yield.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Self

from godwitshunt.routing.selection import Demand


@dataclass(frozen=True)
class Sheet:
    """What an engine takes, in seconds and tokens.

    The figures are those of Pallikkara's sheet. That each token is compared
    with all before it is not on the sheet: see `PAIR_TOKENS` in the product.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens of running requests and kept parts together.
    step_s, slot_step_s : float
        A step, and what each running request adds to it.
    tokens_per_s : float
        Prompt tokens that are read in a second.
    chunk_tokens : int
        Prompt tokens that are read in one step, at most.
    first_s : float
        What a first event takes beyond the steps.
    """

    slots: int = 48
    memory_tokens: int = 357_811
    step_s: float = 0.00509
    slot_step_s: float = 0.00003
    tokens_per_s: float = 51_100.0
    chunk_tokens: int = 4096
    first_s: float = 0.047


PALLIKKARA = Sheet()


@dataclass
class Job:
    """One request at an engine.

    Parameters
    ----------
    demand : Demand
        Its prompt.
    output_tokens : int
        Tokens that it makes.
    asked_s : float
        When its caller asked.
    """

    demand: Demand
    output_tokens: int
    asked_s: float
    unread: int = 0
    made: int = 0
    first_s: float | None = None
    ended_s: float | None = None

    @property
    def tokens(self) -> int:
        """Memory that it holds while it runs."""
        return self.demand.prompt_tokens + self.made


@dataclass
class SheetEngine:
    """One engine.

    Examples
    --------
    >>> engine = SheetEngine.from_sheet('i-1', PALLIKKARA)
    >>> job = Job(Demand(5110), output_tokens=2, asked_s=0.0)
    >>> engine.submit(job)
    >>> now_s = 0.0
    >>> while engine.busy:
    ...     now_s += engine.step(now_s)
    >>> round(job.first_s, 2), job.made, engine.tokens_read
    (0.16, 2, 5110)
    """

    name: str
    sheet: Sheet
    waiting: list[Job] = field(default_factory=list)
    running: list[Job] = field(default_factory=list)
    cached: OrderedDict[int, int] = field(default_factory=OrderedDict)
    tokens_read: int = 0

    @classmethod
    def from_sheet(cls, name: str, sheet: Sheet) -> Self:
        """Make an engine that keeps nothing yet."""
        return cls(name, sheet)

    @property
    def busy(self) -> bool:
        """True while it has a request."""
        return bool(self.waiting or self.running)

    def submit(self, job: Job) -> None:
        """Take a request."""
        self.waiting.append(job)

    def step(self, now_s: float) -> float:
        """Make one step; return how long it takes, in seconds."""
        self.admit()
        ready = [job for job in self.running if not job.unread]
        read_s = self.read_chunk(now_s)
        sheet = self.sheet
        step_s = sheet.step_s + sheet.slot_step_s * len(self.running) + read_s
        for job in ready:
            self.make_token(job, now_s + step_s)
        return step_s

    def admit(self) -> None:
        """Let waiting requests run: urgent ones first, then by arrival."""
        self.waiting.sort(key=lambda job: not job.demand.urgent)
        while self.waiting and len(self.running) < self.sheet.slots:
            if not self.has_room(self.waiting[0]):
                return
            job = self.waiting.pop(0)
            self.running.append(job)
            key = job.demand.shared_key
            is_kept = key in self.cached
            if is_kept:
                self.cached.move_to_end(key)
            shared = job.demand.shared_tokens if is_kept else 0
            job.unread = max(1, job.demand.prompt_tokens - shared)

    def has_room(self, job: Job) -> bool:
        """Tell whether a request fits; kept parts yield to it."""
        running = sum(one.tokens for one in self.running)
        room = self.sheet.memory_tokens - running - job.demand.prompt_tokens
        while self.cached and sum(self.cached.values()) > room:
            self.cached.popitem(last=False)
        return room >= 0 or not self.running

    def read_chunk(self, now_s: float) -> float:
        """Read of the oldest unread prompt; return what it takes."""
        reader = next((job for job in self.running if job.unread), None)
        if reader is None:
            return 0.0
        chunk = min(reader.unread, self.sheet.chunk_tokens)
        before = reader.demand.prompt_tokens - reader.unread
        part = Demand(before + chunk, before)
        reader.unread -= chunk
        self.tokens_read += chunk
        demand = reader.demand
        if not reader.unread and demand.has_affinity:
            self.cached[demand.shared_key] = demand.shared_tokens
        return part.unread_tokens(cached=True) / self.sheet.tokens_per_s

    def make_token(self, job: Job, now_s: float) -> None:
        """Make one token of a request."""
        job.made += 1
        if job.first_s is None:
            job.first_s = now_s + self.sheet.first_s
        if job.made >= job.output_tokens:
            job.ended_s = now_s
            self.running.remove(job)
