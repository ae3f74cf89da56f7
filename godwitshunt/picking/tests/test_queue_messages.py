"""Requests wait in a picker's queue; entry VMs, pickers and answers fail.

A request must neither wait for a picker that is gone nor hold slots that
nobody uses, and a slot must not stay idle while a request waits for it.
"""

import asyncio
from contextlib import suppress

import pytest

from godwitshunt.picking.choices import HandOver, NoPlace, SendHere
from godwitshunt.picking.client import REPORT_DELAY_S
from godwitshunt.picking.region_queue import UNCOLLECTED_S
from godwitshunt.picking.scheduled import extra_in_flight
from godwitshunt.picking.tests.region import (
    SHORT,
    SLOTS,
    PickedRegion,
    engine,
)
from godwitshunt.registry.ledger import RESERVATION_TTL_S
from godwitshunt.registry.tests.deployment import address
from godwitshunt.settings import SchedulingSettings

SCHEDULED = SchedulingSettings(queue_max_slots=32)
MOST = SLOTS + extra_in_flight(SLOTS)


async def start_region(control=None, engines: int = 1):
    """Return a region with a scheduled service, and two of its entry VMs."""
    region = PickedRegion(control or {1: 'a'}, SCHEDULED)
    for number in range(engines):
        region.announce(1, engine(f'i-{number}'))
    entries = [region.start_entry(100 + each) for each in range(2)]
    await region.settle(*entries)
    return region, entries


async def fill(entry, count: int = MOST) -> list[tuple[str, int]]:
    """Assign and send requests; return their upstreams and numbers."""
    sent = []
    for _ in range(count):
        async with asyncio.timeout(1):
            choice = await entry.request_destination(waited_s=0.0)
        assert isinstance(choice, SendHere)
        instance = choice.upstream.announcement.incarnation
        number = entry.begin(instance)
        entry.reports.upstreams.health_of(instance).record_first_bytes(
            number, 0, entry.client.timer.now()
        )
        sent.append((instance, number))
    entry.client.send_report()
    return sent


def ask(entry, **changes) -> asyncio.Task:
    """Request a destination in a task of its own."""
    return asyncio.create_task(
        entry.request_destination(**{'waited_s': 0.0, **changes})
    )


async def run_until(condition) -> None:
    """Let tasks run until a condition holds."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition does not hold')


def queue_of(region, number: int = 1):
    """Return the queue of a control VM's picker."""
    return region.pickers[number].queue.queue


async def ask_queued(region, entry, number: int = 1, **changes) -> asyncio.Task:
    """Request a destination; return the task once the request is queued."""
    before = queue_of(region, number).waiting
    task = ask(entry, **changes)
    await run_until(lambda: queue_of(region, number).waiting > before)
    return task


def in_flight(region, number: int = 1) -> int:
    """Return the requests that a picker counts at the first engine."""
    return region.controls[number].ledger.total('i-0').in_flight


async def test_a_request_waits_for_the_end_of_another():
    """All slots are taken; today's picker refuses what it could serve."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    task = await ask_queued(region, second)
    first.end(*sent[0])
    first.client.send_report()
    choice = await task
    assert isinstance(choice, SendHere)
    assert in_flight(region) == MOST


async def test_an_engine_gets_few_requests_beyond_its_slots():
    """Requests that wait in an engine cannot go elsewhere any more."""
    region, (first, second) = await start_region(engines=2)
    await fill(first, 2 * MOST)
    task = await ask_queued(region, second)
    loads = [
        region.controls[1].ledger.total(f'i-{number}').in_flight
        for number in range(2)
    ]
    assert loads == [MOST, MOST]
    task.cancel()


async def test_requests_of_an_entry_vm_share_one_call():
    """A call for each request would cost more than the requests."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    tasks = [await ask_queued(region, second) for _ in range(3)]
    before = len(second.watch.links.calls)
    for one in sent[:3]:
        first.end(*one)
    first.client.send_report()
    choices = await asyncio.gather(*tasks)
    assert all(isinstance(choice, SendHere) for choice in choices)
    assert len(second.watch.links.calls) - before < 3
    assert in_flight(region) == MOST


async def test_a_request_that_cannot_start_in_time_is_refused():
    """The objective passes while nothing ends; the caller may go elsewhere."""
    region, (first, second) = await start_region()
    await fill(first)
    task = await ask_queued(region, second)
    for _ in range(50):
        region.timer.advance(0.02)
        await asyncio.sleep(0.001)
        if task.done():
            break
    choice = await task
    assert isinstance(choice, NoPlace)
    assert choice.overloaded
    assert choice.retry_after_s > 0
    assert not queue_of(region).waiting


async def test_a_request_without_time_is_refused_at_once():
    """It has waited elsewhere, and its first event would be late."""
    _, (first, second) = await start_region()
    await fill(first)
    choice = await second.request_destination(waited_s=0.9)
    assert isinstance(choice, NoPlace)
    assert choice.overloaded


async def test_an_entry_vm_of_the_previous_build_is_not_queued():
    """It does not know the answer and would give its picker up."""
    _, (first, second) = await start_region()
    await fill(first)
    choice = await second.request_destination()
    assert isinstance(choice, NoPlace)
    assert choice.overloaded


async def test_a_caller_that_leaves_frees_its_place():
    """Its request would take a slot that another one waits for."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    task = await ask_queued(region, second)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    await run_until(lambda: not queue_of(region).waiting)
    first.end(*sent[0])
    first.client.send_report()
    assert in_flight(region) == MOST - 1


async def test_a_decision_that_nobody_collects_returns_its_slot():
    """The entry VM is cut off after its request was queued."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    task = await ask_queued(region, second)
    region.network.split(address(101), address(1))
    assert await task is None
    first.end(*sent[0])
    first.client.send_report()
    assert in_flight(region) == MOST
    assert queue_of(region).decided
    region.timer.advance(UNCOLLECTED_S + 0.05)
    assert not queue_of(region).decided
    assert in_flight(region) == MOST - 1


async def test_a_lost_decision_returns_its_slot():
    """The picker has answered the call, and the answer does not arrive."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    task = await ask_queued(region, second)
    await asyncio.sleep(0.01)
    region.network.cut.add((address(1), address(101)))
    first.end(*sent[0])
    first.client.send_report()
    assert await task is None
    region.timer.advance(RESERVATION_TTL_S + 0.05)
    region.controls[1].ledger.tick(region.timer.now())
    assert in_flight(region) == MOST - 1


async def test_a_vm_chooses_when_the_picker_of_its_queue_freezes():
    """The region has no other picker; the request must not wait for it."""
    region, (first, second) = await start_region()
    await fill(first)
    task = await ask_queued(region, second)
    region.network.frozen.add(address(1))
    assert await task is None


async def test_the_next_picker_queues_a_request_by_its_first_arrival():
    """Its place in the order must not depend on which picker has it."""
    region, (first, second) = await start_region({1: 'a', 2: 'a'})
    await fill(first)
    await region.exchange()
    task = await ask_queued(region, second)
    begun_s = region.timer.now()
    region.timer.advance(0.1)
    await region.exchange()
    region.network.frozen.add(address(1))
    await run_until(lambda: queue_of(region, 2).waiting or task.done())
    waiting = list(queue_of(region, 2).tickets.values())
    assert waiting, task.result()
    arrived_s = waiting[0].request.arrived_s
    # Times travel in whole milliseconds.
    assert arrived_s == pytest.approx(begun_s, abs=0.002)
    task.cancel()


async def test_a_restarted_picker_gets_its_queue_again():
    """Its tickets are unknown to the new process, whose first are equal."""
    region, (first, second) = await start_region()
    await fill(first)
    task = await ask_queued(region, second)
    region.restart(1)
    region.announce(1, engine('i-0'))
    region.pickers[1].activate('test')
    await region.settle(first, second)
    first.client.send_report()
    await run_until(lambda: queue_of(region).waiting or task.done())
    assert queue_of(region).waiting == 1
    task.cancel()


async def test_the_first_picker_hears_of_room_by_the_end_of_a_long_prompt():
    """A large prompt at the head must not keep slots from small ones."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    tasks = [await ask_queued(region, second, demand=SHORT) for _ in range(2)]
    for one in sent[:2]:
        first.end(*one)
    first.client.send_report()
    choices = await asyncio.gather(*tasks)
    assert not any(isinstance(choice, HandOver) for choice in choices)


async def test_a_restarted_picker_decides_no_other_request():
    """Tickets of two processes are equal; their requests are not."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    old = await ask_queued(region, second)
    region.restart(1)
    region.announce(1, engine('i-0'))
    region.pickers[1].activate('test')
    await region.settle(first, second)
    first.client.send_report()
    new = await ask_queued(region, second, fingerprint=b'new')
    old.cancel()
    with suppress(asyncio.CancelledError):
        await old
    first.end(*sent[0])
    first.client.send_report()
    assert isinstance(await asyncio.wait_for(new, 2.0), SendHere)
    assert in_flight(region) <= MOST


async def test_only_reports_that_show_room_cause_choices(monkeypatch):
    """A region's entry VMs send far more reports than requests end."""
    region, (first, second) = await start_region()
    sent = await fill(first)
    task = await ask_queued(region, second)
    tried = []
    queue = region.pickers[1].queue

    def place_waiting(context, now_s, elsewhere):
        tried.append(elsewhere)

    monkeypatch.setattr(queue, 'place_waiting', place_waiting)
    for _ in range(5):
        first.client.send_report()
    assert not tried
    first.end(*sent[0])
    first.client.send_report()
    assert len(tried) == 1
    task.cancel()


async def test_assignments_that_arrive_late_are_returned():
    """A picker that was frozen keeps slots for requests sent elsewhere."""
    region, (first, second) = await start_region()
    await fill(first, 1)
    region.network.late.add(address(1))
    assert await second.request_destination(waited_s=0.0) is None
    assert in_flight(region) == 2
    region.network.heal()
    await region.poll(second.watch, 1)
    region.timer.advance(REPORT_DELAY_S)
    assert in_flight(region) == 1


async def test_requests_that_were_queued_late_are_withdrawn():
    """A picker that was frozen queues requests that were sent elsewhere."""
    region, (first, second) = await start_region()
    await fill(first)
    region.network.late.add(address(1))
    assert await second.request_destination(waited_s=0.0) is None
    assert queue_of(region).waiting == 1
    region.network.late.clear()
    await run_until(lambda: not queue_of(region).waiting)
    assert in_flight(region) == MOST


async def test_tickets_of_a_silent_picker_are_withdrawn_when_it_is_back():
    """Requests that were asked again elsewhere stay in its queue."""
    region, (first, second) = await start_region()
    await fill(first)
    lost = await ask_queued(region, second)
    region.network.frozen.add(address(1))
    assert await lost is None
    assert queue_of(region).waiting == 1
    region.network.heal()
    await region.poll(second.watch, 1)
    abandoned = set(queue_of(region).tickets)
    again = ask(second)
    await run_until(lambda: not abandoned & queue_of(region).tickets.keys())
    assert queue_of(region).waiting == 1
    again.cancel()
