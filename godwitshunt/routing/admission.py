"""Bounded admission queues of one VM, one per request class; no I/O.

A request that no upstream can serve now is queued if its predicted wait
leaves time for the answer before its deadline; otherwise it is refused at
once. Classes are served by priority. To prevent starvation, a request that
has waited for `AGED_SHARE` of its time may use every slot and gets one of
`AGED_TURN_PERIOD` dispatches. Each accepted request leaves by exactly one of
`dispatch`, `withdraw` and `remove_expired`, so that none is lost silently.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Self

from godwitshunt.manifest import RequestClass
from godwitshunt.routing.messages import RefusalReason, Refuse
from godwitshunt.routing.meters import DemandMeter
from godwitshunt.routing.policy import retry_after_s

# A request counts as aged after this share of the time between its arrival
# and its deadline. One of so many dispatches goes to aged requests.
AGED_SHARE = 0.4
AGED_TURN_PERIOD = 4
DRAIN_RATE_DECAY_S = 10.0
# Assumed while a class has had no recent dispatch: a stalled queue that refused
# every request could never measure that it drains again.
ASSUMED_DRAIN_PER_S = 2.0


@dataclass(frozen=True)
class Ticket:
    """A queued request.

    Parameters
    ----------
    number : int
        Unique within the VM.
    priority : int
        Higher is served first.
    arrived_s, deadline_s : float
        Points in time on the timer's clock, not durations.
    answer_s : float
        Predicted seconds from dispatch to the end of the answer.
    """

    number: int
    request_class: str
    priority: int
    arrived_s: float
    deadline_s: float
    answer_s: float = 0.0

    def is_aged(self, now: float) -> bool:
        """Return whether `AGED_SHARE` of the request's time has passed."""
        allowed_s = self.deadline_s - self.arrived_s
        return now - self.arrived_s >= AGED_SHARE * allowed_s


@dataclass(frozen=True)
class Queued:
    """The request was queued.

    Parameters
    ----------
    predicted_s : float
        Predicted wait in seconds.
    """

    predicted_s: float


@dataclass
class AdmissionQueue:
    """The admission queues of one VM.

    Parameters
    ----------
    limits : mapping of str to int
        Maximum queue length, by class.
    random : random.Random
        Jitters the retry times of refused callers.
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
        """Return empty queues for the manifest's classes."""
        return cls({each.name: each.queue_limit for each in classes}, random)

    def configure(self, classes: tuple[RequestClass, ...]) -> None:
        """Apply a newer manifest's queue limits; queued requests stay."""
        self.limits = {each.name: each.queue_limit for each in classes}

    def offer(self, ticket: Ticket, now: float) -> Queued | Refuse:
        """Queue a request, or refuse it at once."""
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
        """Return the predicted seconds until all requests ahead are dispatched.

        An empty queue predicts no wait: the past drain rate says nothing about
        whether a slot is about to become free.
        """
        ahead = 0
        drain_per_s = 0.0
        for name, queue in self.waiting.items():
            ahead_in_class = sum(
                1
                for other in queue.values()
                if other.priority >= ticket.priority
            )
            ahead += ahead_in_class
            drain_per_s += (
                self.drain_per_s(name, now) if ahead_in_class else 0.0
            )
        return ahead / drain_per_s if ahead else 0.0

    def drain_per_s(self, request_class: str, now: float) -> float:
        """Return the recent dispatch rate of a class in requests per second."""
        meter = self.drain_meters.get(request_class)
        if meter is None or meter.decayed_weight(now) < 1:
            return ASSUMED_DRAIN_PER_S
        return meter.per_s(now)

    def next_ticket(
        self,
        now: float,
        blocked: Collection[str] = (),
    ) -> Ticket | None:
        """Return the request to dispatch next, without removing it.

        Parameters
        ----------
        now : float
            Current time on the timer's clock.
        blocked : collection of str
            Classes whose first request has just found no destination.
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
        """Return the share of an upstream's slots that a request may use."""
        return 1.0 if ticket.is_aged(now) else share

    def position(self, ticket: Ticket) -> int:
        """Return how many requests of the class are ahead of a queued one."""
        queue = self.waiting.get(ticket.request_class, {})
        for index, number in enumerate(queue):
            if number == ticket.number:
                return index
        return 0

    def dispatch(self, ticket: Ticket, now: float) -> None:
        """Remove a request that is sent, and count it in the drain rate."""
        if self.withdraw(ticket):
            self.dispatch_count += 1
            meter = self.drain_meters.get(ticket.request_class)
            if meter is None:
                meter = DemandMeter(decay_s=DRAIN_RATE_DECAY_S)
                self.drain_meters[ticket.request_class] = meter
            meter.record(now)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a request; return False if it is not queued.

        It does not count towards the drain rate, since no slot was used.
        """
        queue = self.waiting.get(ticket.request_class, {})
        return queue.pop(ticket.number, None) is not None

    def remove_expired(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return requests that can no longer be answered in time.

        They can be refused at once rather than at their deadline.
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
    """Return a sort key: descending priority, then arrival time."""
    return (-ticket.priority, ticket.arrived_s, ticket.number)


def deadline_key(ticket: Ticket) -> tuple[float, int]:
    """Return a sort key: deadline, then ticket number."""
    return (ticket.deadline_s, ticket.number)
