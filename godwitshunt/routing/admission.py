"""Bounded queues of one VM, one for each class, as a pure state.

A request that no upstream can take now waits here only while its predicted
wait leaves time for its answer; else it is refused at once. Urgent classes go
first. A request of a lower class that has waited for a good part of its
deadline gets a fixed part of the turns and may use every slot, so that it is
never starved for ever. What was accepted leaves by exactly one of `taken`,
`withdrawn` and `expired`, so that no long job is lost in silence.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Self

from godwitshunt.manifest import RequestClass
from godwitshunt.routing.messages import RefusalReason, Refuse
from godwitshunt.routing.meters import DemandMeter
from godwitshunt.routing.policy import retry_after_s

# A request has aged after this part of its time, and then gets one of so
# many turns.
AGED_SHARE = 0.4
AGED_TURN_PERIOD = 4
DRAIN_RATE_DECAY_S = 10.0
# Assumed while a class has had no turn lately: a stopped queue must not
# refuse all, since nothing would then show that it moves again.
ASSUMED_DRAIN_PER_S = 2.0


@dataclass(frozen=True)
class Ticket:
    """A request that waits.

    Parameters
    ----------
    number : int
        Unique in the VM.
    priority : int
        Higher goes first.
    arrived_s, deadline_s : float
        Moments on the timer's clock, not durations.
    answer_s : float
        Seconds that the answer itself is predicted to take.
    """

    number: int
    request_class: str
    priority: int
    arrived_s: float
    deadline_s: float
    answer_s: float = 0.0

    def is_aged(self, now: float) -> bool:
        """Return whether a good part of the deadline has passed."""
        allowed_s = self.deadline_s - self.arrived_s
        return now - self.arrived_s >= AGED_SHARE * allowed_s


@dataclass(frozen=True)
class Queued:
    """The request waits.

    Parameters
    ----------
    predicted_s : float
        Seconds that it is predicted to wait.
    """

    predicted_s: float


@dataclass
class AdmissionQueue:
    """The queues of one VM.

    Parameters
    ----------
    limits : mapping of str to int
        Requests that may wait, by class.
    random : random.Random
        Spreads the times at which refused callers return.
    """

    limits: Mapping[str, int]
    random: Random
    waiting: dict[str, dict[int, Ticket]] = field(default_factory=dict)
    drain_meters: dict[str, DemandMeter] = field(default_factory=dict)
    dispatch_count: int = 0

    @classmethod
    def from_config(
        cls,
        classes: tuple[RequestClass, ...],
        random: Random,
    ) -> Self:
        """Make empty queues for the manifest's classes."""
        return cls({each.name: each.queue_limit for each in classes}, random)

    def configure(self, classes: tuple[RequestClass, ...]) -> None:
        """Take the bounds of a newer manifest; nobody who waits is removed."""
        self.limits = {each.name: each.queue_limit for each in classes}

    def offer(self, ticket: Ticket, now: float) -> Queued | Refuse:
        """Let a request wait, or refuse it at once."""
        predicted_s = self.predicted_wait_s(ticket, now)
        overrun_s = now + predicted_s + ticket.answer_s - ticket.deadline_s
        queue = self.waiting.setdefault(ticket.request_class, {})
        full = len(queue) >= self.limits.get(ticket.request_class, 0)
        if full or overrun_s > 0:
            retry_s = retry_after_s(max(overrun_s, predicted_s), self.random)
            return Refuse(RefusalReason.overloaded, retry_s)
        queue[ticket.number] = ticket
        return Queued(predicted_s)

    def predicted_wait_s(self, ticket: Ticket, now: float) -> float:
        """Return the seconds until all who go first have been taken.

        An empty queue predicts no wait: a rate of the past says nothing of a
        slot that may be free in a moment.
        """
        ahead = 0
        drain_per_s = 0.0
        for name, queue in self.waiting.items():
            first = sum(
                1
                for other in queue.values()
                if other.priority >= ticket.priority
            )
            ahead += first
            drain_per_s += self.drain_per_s(name, now) if first else 0.0
        return ahead / drain_per_s if ahead else 0.0

    def drain_per_s(self, request_class: str, now: float) -> float:
        """Return the requests of a class taken each second of late."""
        meter = self.drain_meters.get(request_class)
        if meter is None or meter.decayed_weight(now) < 1:
            return ASSUMED_DRAIN_PER_S
        return meter.per_s(now)

    def next_ticket(
        self,
        now: float,
        blocked: Collection[str] = (),
    ) -> Ticket | None:
        """Return who goes next; it stays until `taken` names it.

        Parameters
        ----------
        now : float
            The timer's time.
        blocked : collection of str
            Classes whose first request found no place just now.
        """
        heads = [
            next(iter(queue.values()))
            for name, queue in self.waiting.items()
            if queue and name not in blocked
        ]
        if not heads:
            return None
        aged = [head for head in heads if head.is_aged(now)]
        if aged and self.dispatch_count % AGED_TURN_PERIOD == 0:
            return min(aged, key=deadline_key)
        return min(heads, key=priority_key)

    def slot_share(self, ticket: Ticket, share: float, now: float) -> float:
        """Return the share of slots that a waiting request may use now."""
        return 1.0 if ticket.is_aged(now) else share

    def position(self, ticket: Ticket) -> int:
        """Return how many of the class go before a waiting request."""
        queue = self.waiting.get(ticket.request_class, {})
        for place, number in enumerate(queue):
            if number == ticket.number:
                return place
        return 0

    def dispatch(self, ticket: Ticket, now: float) -> None:
        """Remove a request that found a place."""
        if self.withdraw(ticket):
            self.dispatch_count += 1
            meter = self.drain_meters.get(ticket.request_class)
            if meter is None:
                meter = DemandMeter(decay_s=DRAIN_RATE_DECAY_S)
                self.drain_meters[ticket.request_class] = meter
            meter.record(now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request whose caller has gone; False where it is not here.

        It makes no turn and no drain: others did not get further by a slot.
        """
        queue = self.waiting.get(ticket.request_class, {})
        return queue.pop(ticket.number, None) is not None

    def remove_expired(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return requests that can no longer be answered in time.

        They are refused now rather than at their deadline.
        """
        late = [
            ticket
            for queue in self.waiting.values()
            for ticket in queue.values()
            if now + ticket.answer_s > ticket.deadline_s
        ]
        for ticket in late:
            self.withdraw(ticket)
        return tuple(late)


def priority_key(ticket: Ticket) -> tuple[int, float, int]:
    """Order by falling priority, then by arrival."""
    return (-ticket.priority, ticket.arrived_s, ticket.number)


def deadline_key(ticket: Ticket) -> tuple[float, int]:
    """Order by deadline."""
    return (ticket.deadline_s, ticket.number)
