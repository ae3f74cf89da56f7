"""Upstream leases, and which messages may change the upstream table."""

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
    TOMBSTONE_TTL_S,
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
    """Return the event of a first-hand announcement."""
    return Announced(name, announcement(incarnation, sequence, **fields))


def gossiped(incarnation=1, sequence=1, age_s=0.0, details=DETAILS):
    """Return the event of an announcement that a peer relayed."""
    load = UpstreamLoad(running=sequence)
    version = (incarnation, sequence)
    return Gossiped('e1', *version, load, age_s, age_s + 0.1, details)


def names(table: UpstreamTable, now_s: float) -> list[str]:
    """Return the names of the upstreams that may get requests."""
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
            [announced(1, 2)], gossiped(1, 2), Stale, True, id='duplicate'
        ),
        pytest.param(
            [announced(1, 2)], gossiped(1, 1), Stale, True, id='reordered'
        ),
        pytest.param(
            [announced(2, 1)],
            gossiped(1, 9),
            Stale,
            True,
            id='earlier-incarnation',
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
            id='same-incarnation-after-withdrawal',
        ),
        pytest.param(
            [announced(1, 1), Withdrawn('e1', 1)],
            gossiped(2, 1),
            Joined,
            True,
            id='next-incarnation-after-withdrawal',
        ),
        pytest.param(
            [announced(2, 1)],
            Withdrawn('e1', 1),
            Stale,
            True,
            id='outdated-withdrawal',
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
            id='reordered-after-withdrawal',
        ),
    ],
)
def test_the_highest_version_of_a_name_wins(before, event, change, live):
    """Messages are delayed, duplicated, reordered or lost.

    If an older one were applied, requests would go to a departed upstream, or
    a restarted upstream would be hidden.
    """
    table = UpstreamTable('split')
    for earlier_event in before:
        table.apply(earlier_event, 10.0)
    changes = table.apply(event, 10.5)
    assert isinstance(changes[-1], change)
    assert bool(names(table, 10.5)) is live


@pytest.mark.parametrize('age_s', [0.0, 1.0, 2.4])
def test_the_lease_starts_at_the_announcement(age_s):
    """An upstream fails, and its last announcement reaches peers late.

    Each VM stops using it 2.5 s after that announcement was made, however long
    the gossip took.
    """
    table = UpstreamTable('split')
    table.apply(gossiped(age_s=age_s), 10.0)
    end_s = 10.0 - age_s + 2.5
    assert names(table, end_s - 0.01) == ['e1']
    assert names(table, end_s + 0.001) == []


def test_an_expired_upstream_returns_only_with_a_newer_announcement():
    """A duplicate of the last announcement arrives after its lease expired.

    It must not start a second lease; the upstream's next announcement must.
    """
    table = UpstreamTable('split')
    table.apply(announced(1, 5), 0.0)
    table.apply(Tick(), 3.0)
    assert isinstance(table.apply(announced(1, 5), 3.1)[-1], Stale)
    assert isinstance(table.apply(announced(1, 6), 3.2)[-1], Joined)


def test_tombstones_outlive_messages_and_are_bounded():
    """Upstreams with ever new names join and depart for months.

    The number of tombstones must stay bounded, and a duplicate announcement
    minutes after a departure must still be rejected.
    """
    table = UpstreamTable('split')
    table.apply(Withdrawn('e1', 1), 0.0)
    changes = table.apply(announced(1, 7), TOMBSTONE_TTL_S - 1)
    assert isinstance(changes[-1], Stale)
    for number in range(MAX_TOMBSTONES + 10):
        table.apply(Withdrawn(f'u{number}', 1), 1.0)
    assert len(table.tombstones) == MAX_TOMBSTONES
    table.apply(Tick(), TOMBSTONE_TTL_S + 2.0)
    assert not table.tombstones


def test_a_full_table_rejects_new_names_only():
    """A faulty client announces itself under ever new names.

    Known upstreams keep their leases.
    """
    table = UpstreamTable('split')
    for number in range(MAX_UPSTREAMS):
        table.apply(announced(name=f'u{number}'), 0.0)
    assert isinstance(table.apply(announced(name='more'), 0.0)[-1], Full)
    refreshed = table.apply(announced(1, 2, name='u0'), 0.1)
    assert isinstance(refreshed[-1], Refreshed)


def test_requests_since_the_measurement_are_counted_once():
    """A load was measured before this VM sent some of its requests.

    If they were counted twice or not at all, the upstream would get too few or
    too many requests.
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


def test_finished_requests_of_a_delayed_report_occupy_no_slot():
    """A load report is delayed and most of its requests have ended.

    If they were still counted, a free upstream would appear full.
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


def test_views_are_cached_between_changes_and_include_prefixes():
    """Routing recognises an unchanged view by its object identity."""
    table = UpstreamTable('split')
    table.apply(announced(cached_added=(1, 2), cached_dropped=(9,)), 0.0)
    first_views = table.views(0.01)
    assert table.views(0.02) is first_views
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
def test_invalid_announcements_are_rejected(fields):
    """Announcements with out-of-range or unknown fields are rejected."""
    body = announcement().model_dump() | fields
    with pytest.raises(ValidationError):
        UpstreamAnnouncement.model_validate(body)
