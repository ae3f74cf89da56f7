"""Which of several lost requests is held to crash upstreams."""

import pytest

from godwitshunt.quarantine import Fingerprint, Loss, LostRequest, SuspectTable

SHORT_S, LONG_S = 0.1, 2.0


def fingerprint_of(number: int) -> Fingerprint:
    """Return a fingerprint."""
    return Fingerprint(number.to_bytes(16, 'big'))


CRASHING, UNRELATED, OTHER = map(fingerprint_of, (1, 2, 3))


def lose(table, fingerprint, incarnation, at_s, exposure_s=SHORT_S, **fields):
    """Note a loss."""
    told = {'organisation': '', 'body_bytes': 5, **fields}
    loss = Loss(incarnation, at_s, exposure_s)
    table.record_loss(LostRequest(fingerprint, loss=loss, **told))


def test_third_upstream_that_ends_shows_the_request():
    """A lethal request that is sent to a fourth upstream."""
    table = SuspectTable()
    found = []
    for number in range(4):
        lose(table, CRASHING, f'i-{number}', number)
        found.append(CRASHING in table.confirmed())
    assert found == [False, False, True, True]


def test_upstream_that_took_several_copies_counts_once():
    """Copies sent at once to one upstream that are held to be three ends."""
    table = SuspectTable()
    for number in range(5):
        lose(table, CRASHING, 'i-1', number)
    assert not table.confirmed()


def test_places_that_end_at_one_moment_show_no_cause():
    """A lost rack that ends every place of a request that many send alike."""
    table = SuspectTable()
    for number in range(6):
        lose(table, UNRELATED, f'i-{number}', number / 50)
    assert not table.confirmed()


def test_copies_sent_at_once_are_found_by_their_second_moment():
    """A cause that is sent to three upstreams at once, again and again."""
    table = SuspectTable()
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number / 50)
    lose(table, CRASHING, 'j-1', 5)
    assert CRASHING in table.confirmed()


def test_ends_that_follow_one_another_closely_count():
    """A cause that comes again before its last end is half a moment ago."""
    table = SuspectTable()
    for number in range(5):
        lose(table, CRASHING, f'i-{number}', number * 0.15)
    assert CRASHING in table.confirmed()


def test_bystander_of_each_end_is_not_held_guilty_with_the_cause():
    """A client's repeats that meet the lethal request each time."""
    table = SuspectTable()
    for number in range(3):
        lose(table, UNRELATED, f'i-{number}', number, LONG_S)
        lose(table, CRASHING, f'i-{number}', number, SHORT_S)
    assert table.confirmed() == {CRASHING: 3}


def test_bystander_held_guilty_first_is_released_by_the_next_end():
    """Equal evidence that pointed at the wrong request."""
    table = SuspectTable()
    for number in range(3):
        lose(table, UNRELATED, f'i-{number}', number, SHORT_S)
        lose(table, CRASHING, f'i-{number}', number, LONG_S)
    assert table.confirmed() == {UNRELATED: 3}
    lose(table, CRASHING, 'i-4', 4)
    assert table.confirmed() == {CRASHING: 4}


def test_two_lethal_requests_are_both_found():
    """Two causes at a time, one of which hides the other."""
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
def test_whole_answer_clears_a_request_that_many_send_alike(answered_after):
    """A popular request, lost by chance wherever upstreams end."""
    table = SuspectTable()
    for number in range(4):
        lose(table, UNRELATED, f'i-{number}', number)
        if number == answered_after:
            table.clear(UNRELATED, 'a', number + 0.5)
    assert (UNRELATED in table.confirmed()) is (answered_after == 0)


def test_another_organisation_cannot_push_out_what_is_known():
    """A caller that crashes upstreams with many bodies, to hide one."""
    table = SuspectTable(max_records=20)
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number, organisation='o-1')
    for number in range(100):
        lose(table, fingerprint_of(100 + number), 'j-1', 5, organisation='o-2')
    assert CRASHING in table.confirmed()
    assert len(table.records) == 20


def test_own_bodies_cannot_push_out_what_is_known():
    """A caller without an organisation hides behind many bodies of its own."""
    table = SuspectTable(max_records=20)
    for number in range(3):
        lose(table, CRASHING, f'i-{number}', number)
    for number in range(100):
        lose(table, fingerprint_of(100 + number), 'j-1', 5)
    assert CRASHING in table.confirmed()
