"""Processes that heard the same believe the same, in whatever order."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitshunt.exceptions import FrameError
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    SuspectTable,
)
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.suspect_wire import (
    suspects_from_wire,
    suspects_to_wire,
)

losses = st.builds(
    LostRequest,
    fingerprint=st.integers(0, 3).map(
        lambda number: Fingerprint(bytes((number,)) * 16),
    ),
    organisation=st.just('o'),
    body_bytes=st.just(5),
    loss=st.builds(
        Loss,
        incarnation=st.sampled_from(['i-1', 'i-2', 'i-3', 'i-4']),
        at_s=st.integers(0, 100).map(float),
        exposure_s=st.just(0.1),
    ),
)


def shown(table: SuspectTable) -> dict:
    """Return all that a table holds."""
    return {
        name: (dict(one.losses), dict(one.clearances))
        for name, one in table.records.items()
        if one.losses
    }


@given(told=st.lists(losses, max_size=20), seed=st.integers(0, 99))
def test_order_and_repetition_of_news_make_no_difference(told, seed):
    """Two processes of which one keeps a request back, and one does not."""
    first, second = SuspectTable(), SuspectTable()
    for one in told:
        first.record_loss(one)
    shuffled = [*told, *told]
    Random(seed).shuffle(shuffled)
    for one in shuffled:
        second.record_loss(one)
    second.join(first.since(0))
    first.join(second.since(0))
    assert shown(first) == shown(second)
    assert first.confirmed() == second.confirmed()


@given(told=st.lists(losses, max_size=20))
def test_news_that_is_known_is_not_told_on(told):
    """Two processes that tell one another the same for ever."""
    first, second = SuspectTable(), SuspectTable()
    for one in told:
        first.record_loss(one)
    second.join(first.since(0))
    assert not first.join(second.since(0))
    version = second.version
    assert not second.join(first.since(0))
    assert second.version == version


def test_losses_told_to_and_fro_come_to_an_end():
    """A loss that looks younger with each way, and lives for ever."""
    first, second = SuspectTable(), SuspectTable()
    crashing = Fingerprint(bytes(16))
    first.record_loss(LostRequest(crashing, '', 5, Loss('i-1', 10.0, 0.1)))
    now_s = 10.0
    for _ in range(100):
        for one, other in ((first, second), (second, first)):
            told = suspects_to_wire(one.since(0), now_s)
            now_s += 0.05
            other.join(suspects_from_wire(told, now_s))
    assert now_s == pytest.approx(20.0)
    oldest_s = first.records[crashing].losses['i-1'].at_s
    assert oldest_s == pytest.approx(10.0)
    for table in (first, second):
        table.expire(12.0)
        assert not table.records


def test_one_message_tells_a_bounded_part():
    """A message too long for the links, after many upstreams ended at once."""
    table, heard = SuspectTable(), SuspectTable()
    for number in range(700):
        name = Fingerprint(number.to_bytes(16, 'big'))
        table.record_loss(LostRequest(name, '', 5, Loss('i-1', 1.0, 0.1)))
    version, rounds = 0, 0
    while version < table.version:
        delta = table.delta(version)
        assert len(delta.records) <= 256
        heard.join(delta.records)
        version = delta.version
        rounds += 1
    assert rounds == 3
    assert heard.records.keys() == table.records.keys()


def test_table_that_is_full_takes_a_whole_message_at_once():
    """A control VM that stands still while many requests are told to it."""
    table = SuspectTable(max_records=100)
    for number in range(100):
        name = Fingerprint(number.to_bytes(16, 'big'))
        table.record_loss(LostRequest(name, 'o-1', 5, Loss('i-1', 1.0, 0.1)))
    other = SuspectTable()
    for number in range(200, 450):
        name = Fingerprint(number.to_bytes(16, 'big'))
        organisation = f'o-{number % 2 + 2}'
        other.record_loss(
            LostRequest(name, organisation, 5, Loss('i-1', 2.0, 0.1))
        )
    table.join(other.since(0))
    owners = Counter(one.organisation for one in table.records.values())
    assert owners == {'o-1': 33, 'o-2': 33, 'o-3': 33}


@pytest.mark.parametrize(
    'change',
    [
        {'fingerprint': b'short'},
        {'fingerprint': None},
        {'losses': [ttypes.PlaceLost('i-1', None, 1)]},
        {'losses': [ttypes.PlaceLost('i-1', 1, None)]},
        {'body_bytes': None},
    ],
)
def test_malformed_news_is_refused(change):
    """A reader that ends by the news of a request that ends upstreams."""
    fields = {
        'fingerprint': bytes(16),
        'organisation': '',
        'body_bytes': 5,
        'losses': [ttypes.PlaceLost('i-1', 10, 1)],
    }
    told = ttypes.SuspectInfo(**{**fields, **change})
    with pytest.raises(FrameError):
        suspects_from_wire([told], now_s=1.0)
