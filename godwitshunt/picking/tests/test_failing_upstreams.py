"""Upstreams that fail a part of their requests, in one region or in all."""

from random import Random
from types import SimpleNamespace

from godwitshunt.picking.choices import (
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.chooser import (
    Chooser,
)
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.tests.test_choosing import (
    ADDRESS,
    NOW_S,
    SHORT,
    ask,
    make_upstream,
)
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import EntryRecord, RegistryView
from godwitshunt.routing import outliers

HERE, THERE = 'k-0', 't-0'


def make_chooser() -> Chooser:
    """Return a chooser whose own region's only upstream is left out."""
    upstreams = Upstreams()
    for _ in range(12):
        upstreams.record_outcome(
            'llm',
            HERE,
            outliers.Failed(),
            (HERE, THERE, 'z-0'),
            NOW_S,
        )
    assert upstreams.ejected('llm', NOW_S) == {HERE}
    return Chooser('kochi', upstreams, Neighbours('k-e', 'kochi'), Random(1))


def make_view() -> RegistryView:
    """Return one upstream in each of two regions."""
    door = EntryRecord('t-e', 's', 'tvm', 't', ADDRESS, ADDRESS, True)
    upstream = (make_upstream(HERE, 'kochi'), make_upstream(THERE, 'tvm'))
    return RegistryView(
        upstreams={one.announcement.incarnation: one for one in upstream},
        entry_points={'tvm': (door,)},
    )


def choose(chooser: Chooser, **changes):
    """Return where a short request goes."""
    revision = SimpleNamespace(evacuated=frozenset())
    return chooser.choose(ask(SHORT, **changes), make_view(), revision)


def test_a_sound_region_is_better_than_a_failing_upstream():
    """The only upstream here fails two requests in five; one there is well."""
    assert isinstance(choose(make_chooser()), HandOver)


def test_a_failing_upstream_is_better_than_a_refusal():
    """Every region's only upstream fails, and each region leaves its own out.

    Callers would all be refused for seconds, though three requests in five
    would be answered.
    """
    chosen = choose(make_chooser(), excluded=frozenset(('tvm',)))
    assert isinstance(chosen, SendHere)
    assert chosen.upstream.announcement.incarnation == HERE


def test_a_request_handed_over_goes_back_rather_than_to_a_failing_one():
    """The VM that handed it over may know a sound upstream elsewhere."""
    chosen = choose(make_chooser(), local=True)
    assert isinstance(chosen, NoPlace)
    assert not chosen.overloaded


def test_an_upstream_that_failed_this_request_is_not_tried_again():
    """A last resort is one for other requests."""
    chosen = choose(make_chooser(), excluded=frozenset(('tvm', HERE)))
    assert isinstance(chosen, NoPlace)
