"""A request's place in the queue of its VM, while no upstream takes it."""

import itertools
from dataclasses import dataclass, field

from godwitshunt.routing.admission import AdmissionQueue, Ticket
from godwitshunt.routing.messages import (
    Decision,
    Forward,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
)

# Only requests so near the front of their class are decided on. The others
# would find the same slots taken, and overtake those who came first.
FRONT = 8
BEHIND_WAIT_S = 0.1

ticket_numbers = itertools.count(1)


@dataclass
class QueuePlace:
    """Where a request stands; it has no ticket until it first has to wait.

    Parameters
    ----------
    queue : AdmissionQueue
        The VM's queues.
    arrived_s, deadline_s : float
        Moments on the timer's clock, not durations.
    """

    queue: AdmissionQueue
    arrived_s: float
    deadline_s: float
    ticket: Ticket | None = field(default=None, init=False)

    @property
    def is_behind(self) -> bool:
        """True where others of the class have to be placed first."""
        if self.ticket is None:
            return False
        return self.queue.position(self.ticket) >= FRONT

    def follow(
        self,
        decision: Decision,
        route: RouteRequest,
        now: float,
    ) -> Decision:
        """Enter, stay in or leave the queue as a decision says.

        Returns
        -------
        Decision
            A refusal where the request would have to wait, and the queue is
            full or the predicted wait ends after the deadline; else the same.
        """
        match decision:
            case Wait() if self.ticket is None:
                return self.enter(decision, route, now)
            case Serve() | Forward():
                if self.ticket is not None:
                    self.queue.dispatch(self.ticket, now)
                    self.ticket = None
            case Refuse():
                self.leave()
        return decision

    def enter(
        self, decision: Wait, route: RouteRequest, now: float
    ) -> Decision:
        """Take a ticket, or refuse at once."""
        ticket = Ticket(
            number=next(ticket_numbers),
            request_class=route.request_class,
            priority=route.priority,
            arrived_s=self.arrived_s,
            deadline_s=self.deadline_s,
        )
        offered = self.queue.offer(ticket, now)
        if isinstance(offered, Refuse):
            return offered
        self.ticket = ticket
        return decision

    def leave(self) -> None:
        """Give up the place, if there is one."""
        if self.ticket is not None:
            self.queue.withdraw(self.ticket)
            self.ticket = None
