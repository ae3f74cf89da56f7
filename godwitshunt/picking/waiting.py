"""Waiting of an entry VM for decisions on its queued requests.

One call at a time to each picker covers all tickets that it has given. The
queue is the picker's soft state: where it does not answer, each request is
asked again elsewhere with the time that it has waited.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from result import Err

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.settings import Address
from godwitshunt.telemetry import log_change

# A picker holds a call for this long if it has no decision.
HOLD_S = 0.05
# A picker that does not answer this long after the hold is frozen, terminated
# or unreachable. Without the hold in addition, a round trip of 11 ms between
# failure domains would exceed it.
SILENT_AFTER_S = 0.06
# Decisions that arrive before the answer that contains their ticket.
MAX_EARLY = 256
# Pickers whose abandoned tickets are kept.
MAX_ABANDONED = 16


@dataclass
class PickerTickets:
    """Tickets of one picker's process.

    Parameters
    ----------
    waiting : dict
        Futures by ticket. None as their result: the picker has no decision.
    withdrawn : set of int
        Tickets of requests that ended, for the next call.
    early : dict
        Decisions for tickets that are not known yet.
    """

    picker: Address
    source: str
    waiting: dict[int, asyncio.Future[ttypes.PlaceGiven | None]] = field(
        default_factory=dict
    )
    withdrawn: set[int] = field(default_factory=set)
    early: dict[int, ttypes.PlaceGiven] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None

    @property
    def has_work(self) -> bool:
        """Whether another call is needed."""
        return bool(self.waiting or self.withdrawn)

    def decide(self, ticket: int, place: ttypes.PlaceGiven | None) -> bool:
        """Pass on a decision; return False if nobody waits for it."""
        future = self.waiting.pop(ticket, None)
        if future is None or future.done():
            return False
        future.set_result(place)
        return True

    def give_up(self) -> None:
        """Let all requests be asked again; withdraw none here."""
        for ticket in tuple(self.waiting):
            self.decide(ticket, None)
        self.withdrawn.clear()
        self.early.clear()


class WaitingRequests:
    """The queued requests of an entry VM.

    Parameters
    ----------
    name : str
        Name of this VM.
    make_report : callable
        Returns the report that a call to a picker carries, if any.
    links : PeerLinks
        Connections to the pickers.
    on_silent : callable
        Called with a picker that did not answer, and why.
    on_unused : callable
        Called with a picker and a decision that no request uses.
    """

    def __init__(
        self,
        name: str,
        make_report: Callable[[Address, str], ttypes.LoadReport | None],
        links: PeerLinks,
        on_silent: Callable[[Address, str], None],
        on_unused: Callable[[Address, ttypes.PlaceGiven], None],
    ) -> None:
        self.name = name
        self.make_report = make_report
        self.links = links
        self.on_silent = on_silent
        self.on_unused = on_unused
        self.pickers: dict[tuple[Address, str], PickerTickets] = {}
        # Tickets whose requests were asked again elsewhere, by picker.
        self.abandoned: dict[tuple[Address, str], set[int]] = {}

    async def wait(
        self, picker: Address, source: str, ticket: int
    ) -> ttypes.PlaceGiven | None:
        """Return the decision on a queued request.

        None if the picker has none and does not know the request any more.
        The ticket is withdrawn if the caller is cancelled.

        Parameters
        ----------
        picker : Address
            The control VM that has queued it.
        source : str
            Its process.
        """
        tickets = self.tickets_of(picker, source)
        if ticket in tickets.early:
            return tickets.early.pop(ticket)
        future = asyncio.get_running_loop().create_future()
        tickets.waiting[ticket] = future
        self.start(tickets)
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(tickets, ticket, future)
            raise

    def tickets_of(self, picker: Address, source: str) -> PickerTickets:
        """Return the tickets of a picker's process."""
        key = (picker, source)
        tickets = self.pickers.get(key)
        if tickets is None:
            tickets = PickerTickets(picker, source)
            tickets.withdrawn |= self.abandoned.pop(key, set())
            self.pickers[key] = tickets
        return tickets

    def abandon(self, picker: Address, source: str, ticket: int) -> None:
        """Withdraw the ticket of a request that was asked again elsewhere."""
        tickets = self.tickets_of(picker, source)
        tickets.withdrawn.add(ticket)
        self.start(tickets)

    def withdraw(
        self,
        tickets: PickerTickets,
        ticket: int,
        future: asyncio.Future[ttypes.PlaceGiven | None],
    ) -> None:
        """Withdraw the ticket of a request that ended."""
        if tickets.waiting.pop(ticket, None) is not None:
            tickets.withdrawn.add(ticket)
            self.start(tickets)
        elif not future.cancelled() and future.result() is not None:
            self.on_unused(tickets.picker, future.result())

    def start(self, tickets: PickerTickets) -> None:
        """Start calls for a picker's tickets unless they are made already."""
        if tickets.task is None:
            coroutine = self.run(tickets)
            tickets.task = asyncio.get_running_loop().create_task(coroutine)

    async def run(self, tickets: PickerTickets) -> None:
        """Call a picker until none of its tickets is left."""
        try:
            while tickets.has_work:
                await self.call(tickets)
        finally:
            self.remove(tickets)

    def remove(self, tickets: PickerTickets) -> None:
        """Remove a picker that has no tickets any more."""
        tickets.give_up()
        tickets.task = None
        self.pickers.pop((tickets.picker, tickets.source), None)

    async def call(self, tickets: PickerTickets) -> None:
        """Make one call and apply its decisions."""
        message = ttypes.PlaceWait(
            entry_name=self.name,
            report=self.make_report(tickets.picker, tickets.source),
            source=tickets.source,
            tickets=sorted(tickets.waiting),
            withdrawn=sorted(tickets.withdrawn),
        )
        withdrawn = frozenset(tickets.withdrawn)
        tickets.withdrawn.clear()
        reply = await self.links.call(
            tickets.picker,
            MessageKind.place_wait,
            encode(message),
            HOLD_S + SILENT_AFTER_S,
            partial(self.return_late, tickets.picker),
        )
        if isinstance(reply, Err):
            self.keep_abandoned(tickets, withdrawn | tickets.waiting.keys())
            self.lose(tickets, type(reply.err_value).__name__)
            return
        try:
            decisions = decode(ttypes.PlaceDecisions, reply.ok_value)
        except FrameError as bad:
            self.lose(tickets, str(bad))
            return
        self.apply(tickets, decisions)

    def apply(
        self, tickets: PickerTickets, decisions: ttypes.PlaceDecisions
    ) -> None:
        """Apply the decisions of a call."""
        for decided in decisions.decided or ():
            if tickets.decide(decided.ticket, decided.place):
                continue
            if decided.ticket in tickets.withdrawn:
                self.on_unused(tickets.picker, decided.place)
            elif len(tickets.early) < MAX_EARLY:
                tickets.early[decided.ticket] = decided.place
        for ticket in decisions.unknown or ():
            tickets.decide(ticket, None)

    def return_late(self, picker: Address, body: bytes) -> None:
        """Return the decisions of an answer that came after its timeout."""
        try:
            decisions = decode(ttypes.PlaceDecisions, body)
        except FrameError as bad:
            log_change(
                'picking:reply_malformed', picker=str(picker), reason=str(bad)
            )
            return
        for decided in decisions.decided or ():
            self.on_unused(picker, decided.place)

    def keep_abandoned(
        self, tickets: PickerTickets, numbers: frozenset[int]
    ) -> None:
        """Keep tickets to withdraw once the picker gives further ones.

        A picker that gives none removes them: the VM stops asking for them.
        """
        if len(self.abandoned) >= MAX_ABANDONED:
            self.abandoned.clear()
        key = (tickets.picker, tickets.source)
        self.abandoned.setdefault(key, set()).update(numbers)

    def lose(self, tickets: PickerTickets, reason: str) -> None:
        """Give a silent picker up; its requests are asked again."""
        if tickets.waiting:
            self.on_silent(tickets.picker, reason)
        tickets.give_up()

    async def close(self) -> None:
        """Stop all calls."""
        tasks = [
            tickets.task for tickets in self.pickers.values() if tickets.task
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
