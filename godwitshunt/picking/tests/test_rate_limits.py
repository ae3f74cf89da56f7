"""Rate limits of upstreams, kept by the pickers of a region."""

import pytest

from godwitshunt.backpressure import RateLimitNotice
from godwitshunt.backpressure.rate_shares import (
    ALLOWANCE,
    RATE_FACTOR,
    WINDOW_S,
)
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import HandOver, NoPlace, SendHere
from godwitshunt.picking.service import WARM_UP_S
from godwitshunt.picking.tests.region import Entry, PickedRegion, engine
from godwitshunt.registry.tests.deployment import address

LIMIT_PER_S = 2.0
STEP_S = 0.05
POLL_STEPS = 10


async def start_region(engines: int = 1, vms: int = 2):
    """Return a region with engines, and its entry VMs."""
    region = PickedRegion()
    for number in range(engines):
        region.announce(1, engine(f'i-{number}'))
    entries = [region.start_entry(100 + each) for each in range(vms)]
    await region.settle(*entries)
    tick(region)
    return region, entries


def tick(region: PickedRegion) -> None:
    """Let every picker learn of the others."""
    for picker in region.pickers.values():
        picker.tick()


def state(entry: Entry, per_s: float | None = LIMIT_PER_S, name='i-0') -> None:
    """Have an upstream state a limit in an answer to an entry VM."""
    now_s = entry.client.timer.now()
    upstreams = entry.reports.upstreams
    for table in (upstreams.rate_limiter.table, upstreams.observed_limits):
        table.record(RateLimitNotice(name, per_s, now_s))


async def send(region, entries, seconds: float) -> dict[str, list[float]]:
    """Send many requests; return when which upstream got one."""
    sent: dict[str, list[float]] = {}
    for step in range(round(seconds / STEP_S)):
        region.timer.advance(STEP_S)
        if not step % POLL_STEPS:
            for polling in entries:
                await region.poll(polling.watch)
        for entry in entries:
            choice = await entry.request_destination()
            if isinstance(choice, SendHere):
                name = choice.upstream.announcement.incarnation
                sent.setdefault(name, []).append(region.timer.now())
                number = entry.begin(name)
                entry.end(name, number)
    return sent


def most_in_a_window(times: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        sum(first_s <= at_s < first_s + WINDOW_S for at_s in times)
        for first_s in times
    )


async def test_limit_told_by_one_vm_binds_all_vms_of_the_region():
    """The other VMs go on sending their usual requests."""
    region, entries = await start_region(engines=2)
    state(entries[0])
    sent = await send(region, entries, 12.0)
    most = most_in_a_window(sent['i-0'])
    assert most <= LIMIT_PER_S * WINDOW_S + 1
    assert len(sent['i-0']) >= 0.8 * LIMIT_PER_S * 12
    assert len(sent['i-1']) > 10 * len(sent['i-0'])


async def test_two_pickers_in_a_cut_keep_the_limit_together():
    """Half of the entry VMs reach one picker, the others another one."""
    region, entries = await start_region(vms=4)
    for entry in entries[:2]:
        region.network.split(address(1), entry.watch.links.own)
    region.network.split(address(1), address(2))
    for entry in entries:
        await entry.request_destination()
        await region.poll(entry.watch)
        state(entry)
    assert {region.picker_of(entry) for entry in entries} == {
        address(1),
        address(2),
    }
    sent = await send(region, entries, 12.0)
    allowed = RATE_FACTOR * LIMIT_PER_S * WINDOW_S + ALLOWANCE
    assert most_in_a_window(sent['i-0']) <= allowed


async def test_restarted_picker_knows_the_limit_before_it_assigns():
    """A picker that has lost its state sends the usual load again."""
    region, entries = await start_region()
    state(entries[1])
    before = await send(region, entries, 4.0)
    region.restart(1)
    region.announce(1, engine('i-0', sequence=2))
    region.timer.advance(WARM_UP_S)
    await region.settle(*entries)
    tick(region)
    # The VM that was told the limit has only its reports to pass it on.
    await entries[1].request_destination()
    after = await send(region, entries, 8.0)
    allowed = RATE_FACTOR * LIMIT_PER_S * WINDOW_S + ALLOWANCE
    assert most_in_a_window([*before['i-0'], *after['i-0']]) <= allowed


async def test_answer_to_any_vm_without_a_limit_ends_it():
    """The VM that was told the limit has no more requests."""
    region, (told, other) = await start_region()
    state(told)
    await told.request_destination()
    region.timer.advance(1.0)
    table = region.pickers[1].picker.upstreams.rate_limiter.table
    assert table.per_s('i-0') == pytest.approx(LIMIT_PER_S)
    answered = AttemptReport(
        'i-0', 'llm', AttemptResult.answered, first_s=0.1, took_s=0.2
    )
    other.client.report_attempt(answered)
    await other.request_destination()
    assert table.per_s('i-0') is None
    # The first VM still reports the limit, which is older than its end.
    await told.request_destination()
    assert table.per_s('i-0') is None


async def test_answer_to_a_request_sent_before_the_limit_does_not_end_it():
    """A long stream that began before the upstream was overloaded."""
    region, (told, other) = await start_region()
    region.timer.advance(1.0)
    state(told)
    await told.request_destination()
    streamed = AttemptReport(
        'i-0', 'llm', AttemptResult.answered, first_s=0.1, took_s=0.8
    )
    region.timer.advance(0.1)
    other.client.report_attempt(streamed)
    await other.request_destination()
    table = region.pickers[1].picker.upstreams.rate_limiter.table
    assert table.per_s('i-0') == pytest.approx(LIMIT_PER_S)


async def test_excess_requests_go_to_another_region():
    """Requests refused here although another region has free upstreams."""
    region, entries = await start_region()
    region.announce(3, engine('k-0', domain='b'))
    remote = region.start_entry(200, 'b')
    await region.settle(*entries, remote)
    await region.settle(*entries, remote)
    tick(region)
    state(entries[0])
    choices = [await entries[0].request_destination() for _ in range(6)]
    kinds = {type(choice) for choice in choices}
    assert kinds <= {SendHere, HandOver}
    assert sum(isinstance(choice, HandOver) for choice in choices) >= 5


async def test_refused_requests_are_told_when_the_limit_permits_one():
    """Callers that come back before any of them can be served."""
    region, (entry, _) = await start_region()
    state(entry)
    refused = [await entry.request_destination() for _ in range(3)]
    assert all(isinstance(choice, NoPlace) for choice in refused)
    waits = [choice.retry_after_s for choice in refused]
    assert waits == sorted(waits)
    region.timer.advance(waits[0] + 0.001)
    assert isinstance(await entry.request_destination(), SendHere)
