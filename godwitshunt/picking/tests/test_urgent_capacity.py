"""Capacity that less urgent requests leave for urgent ones.

Load: long prompts of a less urgent route and short ones of an urgent route,
together more than the engines of a region prefill.
"""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from godwitshunt.manifest import Engine, Service
from godwitshunt.picking.choices import (
    LESS_URGENT_WAIT_SHARE,
    MAX_WAIT_SHARE,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.tests.region import LONG, PickedRegion
from godwitshunt.picking.tests.test_chooser import (
    SHORT,
    choose,
    make_request,
    view,
)
from godwitshunt.registry import Load
from godwitshunt.settings import SchedulingSettings

# Half of the objective of 0.8 s at 50 tokens per millisecond.
HALF = Load(in_flight=6, pending_tokens=20_000)
BUSY = {f'k-{number}': HALF for number in range(4)} | {
    f't-{number}': HALF for number in range(2)
}


def test_long_prompts_do_not_fill_the_engines():
    """Each engine has prompts for half of the objective in its queue.

    One more long prompt each would make the urgent requests late that arrive
    next; these are still accepted.
    """
    less_urgent = make_request(
        replace(LONG, urgent=False), wait_share=LESS_URGENT_WAIT_SHARE
    )
    assert isinstance(choose(less_urgent, view(BUSY)), NoPlace)
    assert isinstance(choose(make_request(SHORT), view(BUSY)), SendHere)


def test_idle_engines_accept_long_prompts():
    """A long prompt takes longer than the bound by itself.

    Only the wait for other requests is bounded; otherwise idle engines would
    refuse the longest prompts.
    """
    request = make_request(
        replace(LONG, urgent=False), wait_share=LESS_URGENT_WAIT_SHARE
    )
    assert isinstance(choose(request, view()), SendHere)


@pytest.mark.parametrize(
    ('max_slots', 'rank', 'share'),
    [
        (0, 1, MAX_WAIT_SHARE),
        (11, 1, MAX_WAIT_SHARE),
        (12, 1, LESS_URGENT_WAIT_SHARE),
        (12, 0, MAX_WAIT_SHARE),
    ],
)
def test_bound_follows_settings_and_rank(max_slots, rank, share):
    """A deployment that does not ask for it is served as before."""
    settings = SchedulingSettings(admission_max_slots=max_slots)
    picker = PickedRegion(scheduling=settings).pickers[1].picker
    service = Service(
        name='llm',
        kind='plain',
        engine=Engine(slots=12, memory_tokens=300_000),
    )
    assert picker.wait_share(SimpleNamespace(rank=rank), service) == share
