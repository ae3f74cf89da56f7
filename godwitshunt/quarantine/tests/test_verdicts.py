"""Which of several lost requests are confirmed to crash upstreams."""

import pytest

from godwitshunt.quarantine import Fingerprint, Loss, LostRequest, SuspectTable

SHORT_S, LONG_S = 0.1, 2.0


def fingerprint_of(number: int) -> Fingerprint:
    """Return the fingerprint with a number."""
    return Fingerprint(number.to_bytes(16, 'big'))


CRASHING, UNRELATED, OTHER = map(fingerprint_of, (1, 2, 3))


def lose(table, fingerprint, incarnation, at_s, exposure_s=SHORT_S, **fields):
    """Record a loss."""
    attributes = {'organisation': '', 'body_bytes': 5, **fields}
    loss = Loss(incarnation, at_s, exposure_s)
    table.record_loss(LostRequest(fingerprint, loss=loss, **attributes))


def test_third_crash_confirms_the_request():
    """It must not be sent to a fourth upstream."""
    table = SuspectTable()
    confirmed = []
    for number in range(4):
        lose(table, CRASHING, f'i-{number}', number)
        confirmed.append(CRASHING in table.confirmed())
    assert confirmed == [False, False, True, True]


def test_upstream_with_several_copies_counts_once():
    """Copies at one upstream are not several crashes."""
    table = SuspectTable()
    for number in range(5):
        lose(table, CRASHING, 'i-1', number)
    assert not table.confirmed()


def test_simultaneous_crashes_confirm_no_request():
    """A failed rack crashes all upstreams of a widely sent request."""
    table = SuspectTable()
    for number in range(6):
        lose(table, UNRELATED, f'i-{number}', number / 50)
    assert not table.confirmed()


def test_simultaneous_copies_are_confirmed_by_the_second_crash_time():
    """A request may be sent to three upstreams at once, repeatedly."""
    table = SuspectTable()
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number / 50)
    lose(table, CRASHING, 'j-1', 5)
    assert CRASHING in table.confirmed()


def test_crashes_in_quick_succession_count():
    """A request may be repeated before the window of its last crash is over."""
    table = SuspectTable()
    for number in range(5):
        lose(table, CRASHING, f'i-{number}', number * 0.15)
    assert CRASHING in table.confirmed()


def test_unrelated_request_is_not_confirmed_with_the_cause():
    """A client's repeats may meet the crashing request each time."""
    table = SuspectTable()
    for number in range(3):
        lose(table, UNRELATED, f'i-{number}', number, LONG_S)
        lose(table, CRASHING, f'i-{number}', number, SHORT_S)
    assert table.confirmed() == {CRASHING: 3}


def test_wrongly_confirmed_request_is_released_by_the_next_crash():
    """Equal evidence may first point at the wrong request."""
    table = SuspectTable()
    for number in range(3):
        lose(table, UNRELATED, f'i-{number}', number, SHORT_S)
        lose(table, CRASHING, f'i-{number}', number, LONG_S)
    assert table.confirmed() == {UNRELATED: 3}
    lose(table, CRASHING, 'i-4', 4)
    assert table.confirmed() == {CRASHING: 4}


def test_two_crashing_requests_are_both_confirmed():
    """One of two causes may hide the other at first."""
    table = SuspectTable()
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number)
        lose(table, OTHER, f'i-{number}', number, LONG_S)
    lose(table, OTHER, 'j-1', 4)
    assert set(table.confirmed()) == {OTHER}
    lose(table, OTHER, 'j-2', 5)
    lose(table, CRASHING, 'j-3', 6)
    lose(table, CRASHING, 'j-4', 7)
    assert set(table.confirmed()) == {CRASHING, OTHER}


@pytest.mark.parametrize('answered_after', [0, 1, 2])
def test_whole_answer_clears_a_popular_request(answered_after):
    """A popular request may be lost by chance in each crash."""
    table = SuspectTable()
    for number in range(4):
        lose(table, UNRELATED, f'i-{number}', number)
        if number == answered_after:
            table.clear(UNRELATED, 'a', number + 0.5)
    assert (UNRELATED in table.confirmed()) is (answered_after == 0)


def test_another_organisation_cannot_evict_records():
    """A caller must not hide a crashing request behind many others."""
    table = SuspectTable(max_records=20)
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number, organisation='o-1')
    for number in range(100):
        lose(table, fingerprint_of(100 + number), 'j-1', 5, organisation='o-2')
    assert CRASHING in table.confirmed()
    assert len(table.records) == 20


def test_many_bodies_cannot_evict_a_confirmed_request():
    """The same holds for a caller without an organisation."""
    table = SuspectTable(max_records=20)
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number)
    for number in range(100):
        lose(table, fingerprint_of(100 + number), 'j-1', 5)
    assert CRASHING in table.confirmed()
