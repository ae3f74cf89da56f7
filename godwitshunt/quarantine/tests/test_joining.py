"""Processes that received the same records agree, in whatever order."""

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
    SuspectRecord,
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


def contents(table: SuspectTable) -> dict:
    """Return the contents of a table, without its versions."""
    return {
        name: (dict(record.losses), dict(record.clearances))
        for name, record in table.records.items()
        if record.losses
    }


@given(observed=st.lists(losses, max_size=20), seed=st.integers(0, 99))
def test_order_and_repetition_of_losses_do_not_matter(observed, seed):
    """Otherwise one process quarantines a request that another one sends."""
    first, second = SuspectTable(), SuspectTable()
    for loss in observed:
        first.record_loss(loss)
    shuffled = [*observed, *observed]
    Random(seed).shuffle(shuffled)
    for loss in shuffled:
        second.record_loss(loss)
    second.join(first.since(0))
    first.join(second.since(0))
    assert contents(first) == contents(second)
    assert first.confirmed() == second.confirmed()


@given(observed=st.lists(losses, max_size=20))
def test_known_records_are_not_sent_again(observed):
    """Otherwise two processes send each other the same records forever."""
    first, second = SuspectTable(), SuspectTable()
    for loss in observed:
        first.record_loss(loss)
    second.join(first.since(0))
    assert not first.join(second.since(0))
    version = second.version
    assert not second.join(first.since(0))
    assert second.version == version


def test_losses_exchanged_repeatedly_expire():
    """A loss must not look more recent with each message and never expire."""
    first, second = SuspectTable(), SuspectTable()
    crashing = Fingerprint(bytes(16))
    first.record_loss(LostRequest(crashing, '', 5, Loss('i-1', 10.0, 0.1)))
    now_s = 10.0
    for _ in range(100):
        for source, target in ((first, second), (second, first)):
            message = suspects_to_wire(source.since(0), now_s)
            now_s += 0.05
            target.join(suspects_from_wire(message, now_s))
    assert now_s == pytest.approx(20.0)
    oldest_s = first.records[crashing].losses['i-1'].at_s
    assert oldest_s == pytest.approx(10.0)
    for table in (first, second):
        table.expire(12.0)
        assert not table.records


def test_size_of_one_message_is_bounded():
    """Many crashes at once must not lead to too long a message."""
    table, receiver = SuspectTable(), SuspectTable()
    for number in range(700):
        name = Fingerprint(number.to_bytes(16, 'big'))
        table.record_loss(LostRequest(name, '', 5, Loss('i-1', 1.0, 0.1)))
    version, rounds = 0, 0
    while version < table.version:
        delta = table.delta(version)
        assert len(delta.records) <= 256
        receiver.join(delta.records)
        version = delta.version
        rounds += 1
    assert rounds == 3
    assert receiver.records.keys() == table.records.keys()


def test_full_table_joins_a_whole_message_at_once():
    """A control VM must not be blocked while a full table takes many records.

    Each organisation keeps its equal share.
    """
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
    counts = Counter(record.organisation for record in table.records.values())
    assert counts == {'o-1': 33, 'o-2': 33, 'o-3': 33}


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
def test_malformed_record_is_refused(change):
    """A malformed record must not end the process that reads it."""
    fields = {
        'fingerprint': bytes(16),
        'organisation': '',
        'body_bytes': 5,
        'losses': [ttypes.PlaceLost('i-1', 10, 1)],
    }
    suspect = ttypes.SuspectInfo(**{**fields, **change})
    with pytest.raises(FrameError):
        suspects_from_wire([suspect], now_s=1.0)


def relayed(record: SuspectRecord, messages: int, delay_s: float = 0.055):
    """Return a record as it is after it has passed several messages."""
    now_s = 100.0
    for _ in range(messages):
        structs = suspects_to_wire([record], now_s)
        now_s += delay_s
        record = suspects_from_wire(structs, now_s)[0]
    return record


@pytest.mark.parametrize('messages', range(8))
def test_relayed_losses_of_one_crash_time_count_once(messages):
    """A failed rack whose losses come by ways of different lengths.

    Each message makes a loss look more recent, so that two upstreams that
    ended together seem to have ended one after the other, and a request that
    many callers send is quarantined.
    """
    late, direct = (
        SuspectRecord(Fingerprint(bytes(16)), '', 5) for _ in range(2)
    )
    for number in range(2):
        late.add_loss(Loss(f'i-{number}', 99.0, 0.1))
    direct.add_loss(Loss('i-2', 99.0, 0.1))
    direct.join(relayed(late, messages))
    assert direct.count_crash_times() == 1


@pytest.mark.parametrize('messages', range(4))
def test_relayed_losses_of_distinct_crash_times_count(messages):
    """A request that crashes upstreams one by one and is never confirmed."""
    record = SuspectRecord(Fingerprint(bytes(16)), '', 5)
    for number in range(3):
        record.add_loss(Loss(f'i-{number}', 97.0 + number, 0.1))
    assert relayed(record, messages).count_crash_times() == 3
