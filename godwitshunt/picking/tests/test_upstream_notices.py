"""What upstreams state to one entry VM reaches the others of its region."""

import pytest

from godwitshunt.backpressure import RateLimitNotice
from godwitshunt.backpressure.departures import RETENTION_S
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import encode
from godwitshunt.picking.tests.region import PickedRegion, engine
from godwitshunt.picking.upstream_notices import NoticeReceiver
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.tests.deployment import address


async def start_region():
    """Return a region with two engines and two entry VMs."""
    region = PickedRegion()
    for name in ('i-0', 'i-1'):
        region.announce(1, engine(name))
    entries = [region.start_entry(number) for number in (100, 101)]
    await region.settle(*entries)
    return region, entries


def departures(entry):
    """Return what an entry VM knows of upstreams that are leaving."""
    return entry.reports.upstreams.departures


async def test_departure_is_pushed_to_all_entry_vms():
    """A VM whose picker falls silent sends to an upstream that is leaving."""
    region, (told, other) = await start_region()
    departures(told).record('i-0', region.timer.now())
    told.client.send_report()
    assert 'i-0' in departures(other)


async def test_lost_push_is_repeated_by_the_next_poll():
    """A VM that was unreachable at that moment never learns of it."""
    region, (told, other) = await start_region()
    region.network.cut.add((address(1), other.watch.links.own))
    departures(told).record('i-0', region.timer.now())
    told.client.send_report()
    assert 'i-0' not in departures(other)
    region.network.heal()
    await region.poll(other.watch, 1)
    assert 'i-0' in departures(other)


async def test_next_picker_learns_it_from_vms_that_were_not_answered():
    """The only VM that was answered and the picker end at the same time."""
    region, (told, other) = await start_region()
    departures(told).record('i-0', region.timer.now())
    told.client.send_report()
    region.network.frozen |= {address(1), told.watch.links.own}
    await other.request_destination()
    await region.poll(other.watch, 2)
    await other.request_destination()
    assert 'i-0' in region.pickers[2].picker.upstreams.departures


async def test_departures_of_ended_upstreams_are_forgotten():
    """A picker and an entry VM remind each other of them for ever."""
    region, (told, other) = await start_region()
    departures(told).record('i-0', region.timer.now())
    told.client.send_report()
    region.controls[1].withdraw('i-0')
    tables = [departures(told), departures(other)]
    tables.append(region.pickers[1].picker.upstreams.departures)
    for _ in range(int(RETENTION_S) + 2):
        region.timer.advance(1.0)
        now_s = region.timer.now()
        for entry in (told, other):
            await region.poll(entry.watch, 1)
            present = entry.watch.view().upstreams
            departures(entry).remove_absent(present, now_s)
            entry.client.send_report()
    assert not any('i-0' in table for table in tables)


def limit_of(entry) -> float | None:
    """Return the rate limit that an entry VM keeps for the first engine."""
    return entry.reports.upstreams.rate_limiter.table.per_s('i-0')


def observe_limit(entry, per_s: float | None) -> None:
    """Have an upstream state a rate limit in an answer to an entry VM."""
    upstreams = entry.reports.upstreams
    notice = RateLimitNotice('i-0', per_s, entry.client.timer.now())
    upstreams.rate_limiter.table.record(notice)
    upstreams.observed_limits.record(notice)


async def test_first_limit_is_pushed_and_changes_follow_with_polls():
    """VMs whose picker falls silent each send until they are answered."""
    region, (told, other) = await start_region()
    observe_limit(told, 2.0)
    told.client.send_report()
    assert limit_of(other) == pytest.approx(2)
    region.timer.advance(0.1)
    observe_limit(told, 3.0)
    told.client.send_report()
    assert limit_of(other) == pytest.approx(2)
    await region.poll(other.watch, 1)
    assert limit_of(other) == pytest.approx(3)


async def test_end_of_a_limit_is_not_undone_by_vms_that_learned_it():
    """A limit that VMs and pickers report to each other outlasts its end."""
    region, (told, other) = await start_region()
    observe_limit(told, 2.0)
    told.client.send_report()
    region.timer.advance(0.2)
    table = region.pickers[1].picker.upstreams.rate_limiter.table
    ended = RateLimitNotice('i-0', None, region.timer.now())
    table.record(ended)
    region.network.delay = lambda: region.timer.advance(0.3)
    for _ in range(3):
        await other.request_destination()
        other.client.send_report()
        assert table.per_s('i-0') is None
    region.network.delay = lambda: None
    await region.poll(other.watch, 1)
    assert limit_of(other) is None


async def test_malformed_notices_change_nothing():
    """A message without its fields ends the link's task."""
    upstreams = Upstreams()
    receiver = NoticeReceiver(upstreams, lambda: 1.0)
    with pytest.raises(FrameError):
        await receiver.handle_pushed('c', encode(ttypes.UpstreamNotices()))
    with pytest.raises(FrameError):
        await receiver.handle_pushed('c', b'\xff')
    assert not upstreams.departures.stated_s
