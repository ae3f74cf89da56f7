"""Requests to upstreams that fail when they reject many."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import BrittleNotice
from godwitshunt.picking.filters import NO_FREE_SLOT, UpstreamFilter
from godwitshunt.picking.tests.test_chooser import (
    NOW_S,
    SHORT,
    make_request,
    make_upstream,
)
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load, RegistryView
from godwitshunt.registry.free_slots import FreeSlots
from godwitshunt.routing.slot_shares import slot_share

NAMES = ('k-1', 'k-2', 'k-3')
SLOTS = 8


def view_of(slots: int, in_flight: int) -> RegistryView:
    """Return three entry VMs and an upstream with requests."""
    usual = make_upstream('k-0', 'kochi')
    announcement = replace(usual.announcement, slots=slots)
    upstream = replace(usual, announcement=announcement)
    entries = {
        name: SimpleNamespace(name=name, region='kochi') for name in NAMES
    }
    return RegistryView(
        upstreams={'k-0': upstream},
        loads={'k-0': Load(in_flight)},
        entries=entries,
    )


@pytest.mark.parametrize('slots', [1, 2, 6, 8, 48])
def test_vms_that_choose_alone_share_the_slots(slots):
    """Together they would send an upstream more than it has room for."""
    shares = [slot_share('i-1', slots, name, NAMES) for name in NAMES]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


@pytest.mark.parametrize('name', NAMES)
def test_each_vm_may_use_some_upstream_of_few_slots(name):
    """A VM without any share would refuse all its callers."""
    shares = [slot_share(f'i-{number}', 1, name, NAMES) for number in range(40)]
    assert sum(shares) > 4


@pytest.mark.parametrize('silent', [(), NAMES[:1], NAMES[1:], NAMES])
def test_picker_leaves_the_slots_of_vms_that_it_does_not_hear(silent):
    """A VM that chooses alone has a share; beside a picker it adds to it."""
    kept = sum(slot_share('k-0', SLOTS, name, NAMES) for name in silent)
    reporting = [name for name in NAMES if name not in silent]
    for in_flight in range(SLOTS + 1):
        view = view_of(SLOTS, in_flight)
        slots = FreeSlots(lambda view=view: view, reporting)
        is_free = in_flight < SLOTS - kept
        assert slots.has_slot(view.upstreams['k-0']) is is_free


@pytest.mark.parametrize('is_brittle', [True, False])
def test_brittle_upstream_without_a_free_slot_gets_no_request(is_brittle):
    """It may let none wait, and each rejection brings it nearer to a fall."""
    upstreams = Upstreams()
    if is_brittle:
        upstreams.brittle.record(BrittleNotice('llm', 3.0, NOW_S))
    upstream_filter = UpstreamFilter(
        'kochi', upstreams, has_slot=lambda upstream: False
    )
    refusal = upstream_filter.refusal(
        make_upstream('k-0', 'kochi'),
        make_request(SHORT),
        SimpleNamespace(evacuated=frozenset()),
    )
    assert (refusal == NO_FREE_SLOT) is is_brittle


@pytest.mark.parametrize(('bearable', 'pause_s'), [(3.0, 1 / 3), (50.0, 0.15)])
def test_rejections_stay_within_what_an_upstream_bears(bearable, pause_s):
    """With the usual pause it would reject seven requests a second."""
    upstreams = Upstreams()
    upstreams.brittle.record(BrittleNotice('llm', bearable, NOW_S))
    assert upstreams.full_backoff_s('llm') == pytest.approx(pause_s)
    assert upstreams.full_backoff_s('app') == pytest.approx(0.15)
