"""Hand-overs while entry VMs have lost their paths to upstreams."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.picking.choices import HandOver, NoPlace
from godwitshunt.picking.chooser import Chooser
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.tests.test_chooser import (
    ADDRESS,
    SHORT,
    make_request,
    make_upstream,
)
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import EntryRecord, RegistryView

OWN = 'k-1'


def entry(name: str, region: str, *, reaches: bool) -> EntryRecord:
    """Return an entry VM."""
    record = EntryRecord(name, 's', region, region, ADDRESS, ADDRESS, True)
    return replace(record, reaches_upstreams=reaches)


def make_view(*, sibling: bool, there: bool) -> RegistryView:
    """Return two VMs here and one in another region with an upstream."""
    upstream = make_upstream('t-0', 'tvm')
    return RegistryView(
        upstreams={'t-0': upstream},
        entry_points={
            'kochi': (
                entry(OWN, 'kochi', reaches=True),
                entry('k-2', 'kochi', reaches=sibling),
            ),
            'tvm': (entry('t-1', 'tvm', reaches=there),),
        },
    )


def make_chooser() -> Chooser:
    """Return the chooser of a VM of the first region."""
    neighbours = Neighbours(OWN, 'kochi')
    return Chooser('kochi', Upstreams(), neighbours, Random(1))


@pytest.mark.parametrize(
    ('sibling', 'excluded', 'relayed_to'),
    [
        (True, (), 'k-2'),
        (False, (), None),
        (True, ('k-2',), None),
        (True, ('kochi',), None),
    ],
)
def test_request_is_relayed_to_a_vm_beside_that_reaches_upstreams(
    sibling, excluded, relayed_to
):
    """A VM without paths would refuse callers whom others could serve."""
    request = make_request(SHORT, entry=OWN, excluded=frozenset(excluded))
    view = make_view(sibling=sibling, there=True)
    relay = make_chooser().choose_relay(request, view)
    assert (relay and relay.entry.name) == relayed_to


@pytest.mark.parametrize('there', [True, False])
def test_region_whose_vms_reach_nothing_gets_no_requests(there):
    """Callers of sound regions were refused by a region without paths."""
    revision = SimpleNamespace(evacuated=frozenset())
    request = make_request(SHORT, entry=OWN)
    view = make_view(sibling=True, there=there)
    choice = make_chooser().choose(request, view, revision)
    assert isinstance(choice, HandOver if there else NoPlace)
