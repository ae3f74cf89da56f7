"""A region's queue over model engines, by pattern of load.

In virtual time and from fixed seeds; bounds leave room for other seeds of the
same pattern.
"""

from functools import cache

import pytest

from benchmarks.queue_load import QueueLoad, QueuePattern

SEEDS = (1, 2, 3)
# What callers are promised: any other organisation loses this at most.
MAX_FALL = 0.03
CALM_SHARE = 0.99
MIN_GAIN = 0.2
# All requests together are 1.5 times what the engines do.
LEAST_OF_ALL = 0.75
# At fewer engines an organisation has so few large prompts that by chance some
# send three times what others do.
FAIR_ENGINES = 12
# Seven organisations that together use seven tenths of the engines, and one
# that sends as much as each of them or eight times as much.
EQUAL = tuple((f'org-{number}', 0.1) for number in range(8))
BURSTING = (('org-0', 0.8), *EQUAL[1:])


@cache
def shares(load, queued, organisations=(('', 1.0),), engines=4):
    """Return the shares on time: all, long, short, and by organisation."""
    plays = []
    for seed in SEEDS:
        pattern = QueuePattern(
            load,
            queued,
            engines,
            seed=seed,
            organisations=dict(organisations),
        )
        play = QueueLoad(pattern)
        play.run()
        plays.append(
            [
                play.share_on_time(),
                play.share_on_time(is_long=True),
                play.share_on_time(is_long=False),
                *(
                    play.share_on_time(organisation=name)
                    for name, _ in organisations
                ),
            ]
        )
    return [sum(column) / len(plays) for column in zip(*plays, strict=True)]


@pytest.mark.parametrize(
    ('load', 'least', 'least_short'), [(1.7, 0.88, 0.97), (2.8, 0.58, 0.6)]
)
def test_a_queue_serves_more_than_refusing_does(load, least, least_short):
    """A region gets 1.7 and 2.8 times what its engines do.

    With twice the slots assigned, engines give first events late; without a
    queue, those with at most their slots are idle between requests.
    """
    queued = shares(load, queued=True)
    refusing = shares(load, queued=False)
    assert queued[0] - refusing[0] > MIN_GAIN
    assert queued[0] > least
    assert queued[2] > least_short
    assert queued[1] <= queued[2]


def test_a_queue_loses_nothing_below_capacity():
    """Fewer requests in flight at each engine must not delay calm traffic."""
    assert shares(0.8, queued=True)[0] > CALM_SHARE


def test_a_bursting_organisation_costs_others_nothing():
    """One organisation sends eight times its usual rate.

    All requests together are 1.5 times what the engines do. Without shares
    the others lose as much as the one that bursts.
    """
    usual = shares(1.0, True, EQUAL, FAIR_ENGINES)[3:]
    bursting = shares(1.0, True, BURSTING, FAIR_ENGINES)[3:]
    falls = [
        before - after
        for before, after in zip(usual[1:], bursting[1:], strict=True)
    ]
    assert max(falls) <= MAX_FALL


def test_an_unused_share_is_used_by_others():
    """Seven organisations ask for seven tenths of the engines in a burst.

    The eighth gets the rest, which is more than an eighth.
    """
    bursting = shares(1.0, True, BURSTING, FAIR_ENGINES)
    used = 0.8 * bursting[3]
    assert used > 2 / 8
    assert bursting[0] > LEAST_OF_ALL
