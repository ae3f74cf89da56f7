"""Upstream leases on virtual time: what each message may change."""

import pytest
from pydantic import ValidationError

from godwitshunt.membership import UpstreamAnnouncement, UpstreamTable
from godwitshunt.membership.events import (
    Announced,
    DetailsMissing,
    Full,
    Gossiped,
    Joined,
    Late,
    Left,
    PrefixesChanged,
    Refreshed,
    RequestFinished,
    RequestSent,
    Stale,
    Tick,
    UpstreamDetails,
    UpstreamLoad,
    Withdrawn,
)
from godwitshunt.membership.table import (
    MAX_TOMBSTONES,
    MAX_UPSTREAMS,
    TOMBSTONE_S,
)
from godwitshunt.settings import Address

ADDRESS = Address(host='127.0.0.1', port=9000)
DETAILS = UpstreamDetails('chat', ADDRESS, models=('review',), slots=4)


def announcement(incarnation=1, sequence=1, **fields) -> UpstreamAnnouncement:
    """Return an announcement of a model engine."""
    return UpstreamAnnouncement(
        incarnation=incarnation,
        sequence=sequence,
        service='chat',
        address=ADDRESS,
        **fields,
    )


def announced(incarnation=1, sequence=1, name='e1', **fields) -> Announced:
    """Return the event of an announcement to this VM."""
    return Announced(name, announcement(incarnation, sequence, **fields))


def gossiped(incarnation=1, sequence=1, age_s=0.0, details=DETAILS):
    """Return the event of an announcement that a peer passed on."""
    load = UpstreamLoad(running=sequence)
    pair = (incarnation, sequence)
    return Gossiped('e1', *pair, load, age_s, age_s + 0.1, details)


def names(table: UpstreamTable, now_s: float) -> list[str]:
    """Return the names of the upstreams that may get work."""
    return [view.name for view in table.views(now_s)]


@pytest.mark.parametrize(
    ('before', 'event', 'change', 'live'),
    [
        pytest.param([], announced(), Joined, True, id='new'),
        pytest.param([], gossiped(), Joined, True, id='new-from-peer'),
        pytest.param(
            [], gossiped(details=None), DetailsMissing, False, id='unknown'
        ),
        pytest.param([], gossiped(age_s=2.5), Late, False, id='late'),
        pytest.param(
            [announced(1, 2)], gossiped(1, 2), Stale, True, id='doubled'
        ),
        pytest.param(
            [announced(1, 2)], gossiped(1, 1), Stale, True, id='reordered'
        ),
        pytest.param(
            [announced(2, 1)], gossiped(1, 9), Stale, True, id='earlier-life'
        ),
        pytest.param(
            [announced(1, 9)], gossiped(2, 1), Joined, True, id='restarted'
        ),
        pytest.param(
            [announced(1, 1)],
            gossiped(1, 2, details=None),
            Refreshed,
            True,
            id='load-only',
        ),
        pytest.param(
            [announced(1, 1), announced(1, 2, leaving=True)],
            gossiped(1, 1),
            Stale,
            False,
            id='late-after-leaving',
        ),
        pytest.param(
            [announced(1, 1), Withdrawn('e1', 1)],
            gossiped(1, 99),
            Stale,
            False,
            id='same-life-after-withdrawal',
        ),
        pytest.param(
            [announced(1, 1), Withdrawn('e1', 1)],
            gossiped(2, 1),
            Joined,
            True,
            id='next-life-after-withdrawal',
        ),
        pytest.param(
            [announced(2, 1)], Withdrawn('e1', 1), Stale, True, id='old-leave'
        ),
        pytest.param(
            [announced(1, 3)],
            announced(1, 4, leaving=True),
            Left,
            False,
            id='leaving',
        ),
        pytest.param(
            [Withdrawn('e1', 1, 5)],
            gossiped(1, 4),
            Stale,
            False,
            id='overtaken',
        ),
    ],
)
def test_the_highest_pair_of_a_name_wins(before, event, change, live):
    """Messages come late, twice, in another order, or not at all.

    An older one that counted would send work to an upstream that is gone, or
    hide one that has come back.
    """
    table = UpstreamTable('split')
    for earlier in before:
        table.apply(earlier, 10.0)
    changes = table.apply(event, 10.5)
    assert isinstance(changes[-1], change)
    assert bool(names(table, 10.5)) is live


@pytest.mark.parametrize('age_s', [0.0, 1.0, 2.4])
def test_the_lease_counts_from_the_announcement(age_s):
    """An upstream dies without a word, and peers hear its last word late.

    Each VM stops using it 2.5 s after that word, however long it travelled.
    """
    table = UpstreamTable('split')
    table.apply(gossiped(age_s=age_s), 10.0)
    end_s = 10.0 - age_s + 2.5
    assert names(table, end_s - 0.01) == ['e1']
    assert names(table, end_s + 0.001) == []


def test_a_lapsed_upstream_returns_only_with_a_newer_announcement():
    """The last announcement arrives again after its lease ran out.

    It must not begin a second lease; the upstream's next one must.
    """
    table = UpstreamTable('split')
    table.apply(announced(1, 5), 0.0)
    table.apply(Tick(), 3.0)
    assert isinstance(table.apply(announced(1, 5), 3.1)[-1], Stale)
    assert isinstance(table.apply(announced(1, 6), 3.2)[-1], Joined)


def test_tombstones_outlast_messages_and_stay_bounded():
    """Upstreams come and go for months, each under a name of its own.

    What is remembered of them must not grow without end, and a doubled
    announcement minutes after a departure must still be refused.
    """
    table = UpstreamTable('split')
    table.apply(Withdrawn('e1', 1), 0.0)
    late = table.apply(announced(1, 7), TOMBSTONE_S - 1)
    assert isinstance(late[-1], Stale)
    for number in range(MAX_TOMBSTONES + 10):
        table.apply(Withdrawn(f'u{number}', 1), 1.0)
    assert len(table.tombstones) == MAX_TOMBSTONES
    table.apply(Tick(), TOMBSTONE_S + 2.0)
    assert not table.tombstones


def test_a_full_table_refuses_new_names_only():
    """Something announces itself under ever new names.

    Upstreams that are known keep their leases.
    """
    table = UpstreamTable('split')
    for number in range(MAX_UPSTREAMS):
        table.apply(announced(name=f'u{number}'), 0.0)
    assert isinstance(table.apply(announced(name='more'), 0.0)[-1], Full)
    refreshed = table.apply(announced(1, 2, name='u0'), 0.1)
    assert isinstance(refreshed[-1], Refreshed)


def test_load_since_the_measurement_is_added_once():
    """A report arrives that was measured before some requests were sent.

    Counting them twice or not at all would crowd or starve the upstream.
    """
    table = UpstreamTable('split')
    table.apply(announced(1, 1), 0.0)
    for sent_s, tokens in ((0.1, 100), (0.9, 200), (0.95, 300)):
        table.apply(RequestSent('e1', tokens), sent_s)
    assert table.views(0.96)[0].sent_since == 3
    table.apply(announced(1, 2, running=1, measured_age_ms=500), 1.0)
    view = table.views(1.0)[0]
    assert (view.sent_since, view.sent_tokens_since) == (2, 500)
    assert view.report_age_s == pytest.approx(0.5)
    table.apply(RequestFinished('e1', 300), 1.1)
    table.apply(RequestFinished('e1', 7), 1.1)
    assert table.views(1.1)[0].sent_tokens_since == 200


def test_requests_of_a_late_report_that_have_ended_hold_no_slot():
    """A report is two seconds late and most of what it counts has ended.

    Counted on, they would keep a free upstream looking full.
    """
    table = UpstreamTable('split')
    table.apply(announced(1, 1), 0.0)
    for sent_s in (0.1, 0.2, 0.9):
        table.apply(RequestSent('e1', 100), sent_s)
    table.apply(announced(1, 2, running=2, measured_age_ms=500), 1.0)
    assert table.views(1.0)[0].finished_since == 0
    table.apply(RequestFinished('e1', 100), 1.1)
    assert table.views(1.1)[0].finished_since == 1
    table.apply(announced(1, 3, running=1), 1.2)
    assert table.views(1.2)[0].finished_since == 0


def test_views_are_kept_between_changes_and_follow_prefixes():
    """The same object says that a decision sees nothing new."""
    table = UpstreamTable('split')
    table.apply(announced(cached_added=(1, 2), cached_dropped=(9,)), 0.0)
    first = table.views(0.01)
    assert table.views(0.02) is first
    table.apply(PrefixesChanged('e1', 1, (3,), (1,)), 0.03)
    assert table.views(0.04)[0].cached_prefixes == {2, 3}
    assert table.views(0.6)[0].report_age_s == pytest.approx(0.6)


@pytest.mark.parametrize(
    'fields',
    [
        {'sequence': -1},
        {'incarnation': 2**63},
        {'slots': 0},
        {'service': 'Not A Name'},
        {'models': tuple(f'm{number}' for number in range(65))},
        {'prefill_tokens_per_s': 0},
        {'measured_age_ms': 600_001},
        {'cached_added': tuple(range(1025))},
        {'colour': 'red'},
    ],
)
def test_announcements_are_bounded_and_checked(fields):
    """An upstream announces nonsense: it gets an error and no work."""
    body = announcement().model_dump() | fields
    with pytest.raises(ValidationError):
        UpstreamAnnouncement.model_validate(body)
