"""Queue of a region's picker: messages, timers, logs and metrics."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import replace
from operator import attrgetter

from godwitshunt.manifest import Route, Service
from godwitshunt.peer import decode, encode
from godwitshunt.picking.destinations import Assignment, DestinationRequest
from godwitshunt.picking.picker import Picker, PickingContext
from godwitshunt.picking.region_queue import RegionQueue, Ticket
from godwitshunt.picking.scheduled import ScheduledPicker, extra_in_flight
from godwitshunt.picking.waiting import HOLD_S
from godwitshunt.picking.wire import assignment_to_wire
from godwitshunt.registry import RegistryService
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import Report, ReportedLoad
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer

# Period in which late requests are refused and other regions are tried.
PERIOD_S = 0.02
# Larger ranks share one label, so that a manifest cannot add many series.
MAX_RANK_LABEL = 4
ENTRY = attrgetter('entry')


class QueueService:
    """Queues requests to scheduled services for the entry VMs of a region.

    Parameters
    ----------
    registry : RegistryService
        Upstreams and the requests of entry VMs.
    picker : Picker
        Chooses among upstreams and counts.
    make_context : callable
        Returns the state that a choice uses; None without a revision.
    parked : dict
        Events that end the calls that wait for a decision, by entry VM.
    reported : dict
        Loads in the last report of each entry VM that has any.
    """

    def __init__(
        self,
        registry: RegistryService,
        picker: Picker,
        make_context: Callable[[float], PickingContext | None],
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.picker = picker
        self.make_context = make_context
        self.timer = timer
        self.metrics = metrics
        self.queue = RegionQueue(picker.random.uniform)
        self.scheduled = ScheduledPicker(picker, self.queue)
        self.parked: dict[str, asyncio.Event] = {}
        self.reported: dict[str, Mapping[str, ReportedLoad]] = {}
        self.is_ticking = False

    def close(self) -> None:
        """End all calls that wait; their entry VMs ask another picker."""
        for event in self.parked.values():
            event.set()

    def assign(
        self,
        query: DestinationRequest,
        route: Route,
        service: Service,
        context: PickingContext,
        now_s: float,
    ) -> Assignment:
        """Assign a request at once, queue it or refuse it."""
        ticket = self.scheduled.assign(query, route, service, context, now_s)
        if ticket.assignment is None:
            self.log('picking:queued', ticket, now_s)
        elif ticket.reason:
            self.log_refused(ticket, context, now_s)
        self.wake(self.queue.decided)
        self.start_ticking()
        assignment = self.queue.reply(ticket)
        return replace(assignment, redemption=ticket.arrival.redemption)

    async def handle_wait(self, sender: str, body: bytes) -> bytes:
        """Answer an entry VM as soon as one of its requests is decided."""
        message = decode(ttypes.PlaceWait, body)
        entry = message.entry_name or sender
        now_s = self.timer.now()
        if message.report is not None:
            self.registry.apply_report(entry, message.report)
        numbers = message.tickets or ()
        if message.source != self.registry.source:
            # Another process gave these tickets; numbers here may be equal.
            return encode(
                ttypes.PlaceDecisions(self.registry.source, [], list(numbers))
            )
        self.queue.last_calls[entry] = now_s
        self.withdraw(entry, message.withdrawn or (), now_s)
        if numbers and not self.queue.unknown(entry, numbers):
            await self.park(entry)
        return self.reply(entry, self.queue.unknown(entry, numbers))

    async def park(self, entry: str) -> None:
        """Wait for a decision on a request of an entry VM."""
        if entry in self.queue.decided:
            return
        event = asyncio.Event()
        earlier = self.parked.get(entry)
        if earlier is not None:
            # The entry VM has given up that call.
            earlier.set()
        self.parked[entry] = event
        with suppress(TimeoutError):
            async with asyncio.timeout(HOLD_S):
                await event.wait()
        if self.parked.get(entry) is event:
            self.parked.pop(entry)

    def reply(self, entry: str, unknown: Iterable[int]) -> bytes:
        """Return the decisions on the requests of an entry VM."""
        now_s = self.timer.now()
        source = self.registry.source
        decided = [
            ttypes.PlaceDecided(
                ticket.request.ticket,
                assignment_to_wire(
                    self.scheduled.deliver(ticket, now_s),
                    source,
                    now_s,
                    is_scheduled=True,
                ),
            )
            for ticket in self.queue.collect(entry)
        ]
        decisions = ttypes.PlaceDecisions(source, decided, list(unknown))
        return encode(decisions)

    def withdraw(
        self, entry: str, numbers: Iterable[int], now_s: float
    ) -> None:
        """Remove requests that an entry VM no longer has."""
        for ticket in self.queue.withdraw(entry, numbers, now_s):
            self.scheduled.release(ticket)
            self.log('picking:withdrawn', ticket, now_s)

    def record_report(self, name: str, report: Report) -> None:
        """Assign waiting requests if a report shows room at an upstream.

        A region's entry VMs send a thousand reports a second. Only those that
        show an end or a first event can make room.
        """
        before = self.reported.get(name, {})
        if report.loads:
            self.reported[name] = report.loads
        else:
            self.reported.pop(name, None)
        if not self.queue.tickets:
            return
        instances = relieved(before, report.loads)
        if not instances:
            return
        now_s = self.timer.now()
        context = self.make_context(now_s)
        if context is not None and has_free_slot(context, instances):
            self.place_waiting(context, now_s, elsewhere=False)

    def start_ticking(self) -> None:
        """Check the waiting requests periodically while there are any."""
        if self.is_ticking or not (self.queue.tickets or self.queue.decided):
            return
        self.is_ticking = True
        self.timer.after(PERIOD_S, self.tick)

    def tick(self) -> None:
        """Refuse late requests, remove abandoned ones and assign others."""
        self.is_ticking = False
        now_s = self.timer.now()
        context = self.make_context(now_s)
        for abandoned in self.queue.remove_silent(now_s):
            self.scheduled.release(abandoned)
            self.log('picking:withdrawn', abandoned, now_s, is_silent=True)
        if context is not None:
            late = self.queue.refuse_late(now_s)
            for ticket in late:
                self.log_refused(ticket, context, now_s)
            self.wake(map(ENTRY, late))
            self.place_waiting(context, now_s, elsewhere=True)
        self.metrics.gauge('picking_queue_length', self.queue.waiting)
        self.start_ticking()

    def place_waiting(
        self, context: PickingContext, now_s: float, *, elsewhere: bool
    ) -> None:
        """Assign waiting requests while there is room."""
        placed = self.scheduled.place_waiting(
            context, now_s, elsewhere=elsewhere
        )
        for ticket in placed:
            self.log(
                'picking:assigned',
                ticket,
                now_s,
                kind=type(ticket.assignment.choice).__name__,
            )
            wait_s = now_s - ticket.request.arrived_s
            rank = str(min(MAX_RANK_LABEL, ticket.request.rank[1]))
            self.metrics.observe(
                'picking_queue_wait_seconds', wait_s, rank=rank
            )
        self.wake(map(ENTRY, placed))

    def wake(self, entries: Iterable[str]) -> None:
        """Answer the calls of entry VMs that have a decision."""
        for entry in entries:
            event = self.parked.get(entry)
            if event is not None:
                event.set()

    def log_refused(
        self, ticket: Ticket, context: PickingContext, now_s: float
    ) -> None:
        """Log and count a refusal."""
        has_room = self.scheduled.has_room(ticket, context)
        self.metrics.count('picking_refused_total', why=ticket.reason)
        if has_room:
            self.metrics.count('picking_refused_with_room_total')
        self.log(
            'picking:refused',
            ticket,
            now_s,
            why=ticket.reason,
            returned=ticket.request.returned,
            has_room=has_room,
        )

    def log(
        self, event: str, ticket: Ticket, now_s: float, **extra: object
    ) -> None:
        """Log a decision on a request."""
        query = ticket.arrival.query
        log_change(
            event,
            request=query.request,
            entry=query.entry,
            ticket=ticket.request.ticket,
            organisation=query.organisation,
            rank=ticket.request.rank,
            waited_s=round(now_s - ticket.request.arrived_s, 3),
            left_s=round(ticket.request.deadline_s - now_s, 3),
            waiting=self.queue.waiting,
            **extra,
        )


def relieved(
    before: Mapping[str, ReportedLoad], now: Mapping[str, ReportedLoad]
) -> list[str]:
    """Return the upstreams at which an entry VM has less load than before."""
    return [
        instance
        for instance, reported in before.items()
        if instance not in now
        or now[instance].load.in_flight < reported.load.in_flight
        or now[instance].load.pending_tokens < reported.load.pending_tokens
    ]


def has_free_slot(context: PickingContext, instances: Iterable[str]) -> bool:
    """Return whether one of some upstreams has a free slot."""
    for instance in instances:
        upstream = context.view.upstreams.get(instance)
        load = context.view.loads.get(instance)
        if upstream is None:
            continue
        if (
            load is None
            or load.in_flight
            < upstream.announcement.slots
            + extra_in_flight(upstream.announcement.slots)
        ):
            return True
    return False
