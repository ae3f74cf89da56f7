"""Upstreams that fail some of their requests, in one region or in all."""

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
from godwitshunt.picking.tests.test_chooser import (
    ADDRESS,
    NOW_S,
    SHORT,
    make_request,
    make_upstream,
)
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import EntryRecord, RegistryView
from godwitshunt.routing import outliers

HERE, THERE = 'k-0', 't-0'


def make_chooser() -> Chooser:
    """Return a chooser of a region whose only upstream is ejected."""
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
    entry = EntryRecord('t-e', 's', 'tvm', 't', ADDRESS, ADDRESS, True)
    upstreams = (make_upstream(HERE, 'kochi'), make_upstream(THERE, 'tvm'))
    return RegistryView(
        upstreams={
            upstream.announcement.incarnation: upstream
            for upstream in upstreams
        },
        entry_points={'tvm': (entry,)},
    )


def choose(chooser: Chooser, **changes):
    """Return the choice for a short request."""
    revision = SimpleNamespace(evacuated=frozenset())
    return chooser.choose(make_request(SHORT, **changes), make_view(), revision)


def test_a_healthy_region_is_preferred_to_a_failing_upstream():
    """The local upstream fails two requests in five; the remote is healthy."""
    assert isinstance(choose(make_chooser()), HandOver)


def test_a_failing_upstream_is_preferred_to_a_refusal():
    """Each region ejects its only upstream, which fails some requests.

    All callers would be refused for seconds, although three requests in five
    would be answered.
    """
    chosen = choose(make_chooser(), excluded=frozenset(('tvm',)))
    assert isinstance(chosen, SendHere)
    assert chosen.upstream.announcement.incarnation == HERE


def test_a_handed_over_request_is_not_sent_to_a_failing_upstream():
    """It is returned, as its sender may know a healthy upstream elsewhere."""
    chosen = choose(make_chooser(), local=True)
    assert isinstance(chosen, NoPlace)
    assert not chosen.overloaded


def test_an_upstream_that_failed_this_request_is_not_tried_again():
    """An ejected upstream is a fallback for other requests only."""
    chosen = choose(make_chooser(), excluded=frozenset(('tvm', HERE)))
    assert isinstance(chosen, NoPlace)
