"""Tests of the entry VMs listed for callers of routes."""

from dataclasses import replace
from random import Random

from godwitshunt.registry.records import EntryRecord
from godwitshunt.routing.directory import route_entries
from godwitshunt.settings import Address


def entry(name: str, region: str) -> EntryRecord:
    """Return an entry VM of a region."""
    address = Address(host='127.0.0.1', port=8000)
    return EntryRecord(name, 's', region, region, address, address, True)


ENTRIES = (
    entry('a', 'kochi'),
    entry('b', 'kochi'),
    entry('c', 'kozhikode'),
)


def listed_regions(region: str, homes: tuple[frozenset[str], ...]) -> set[str]:
    """Return the regions of the VMs listed for a caller."""
    listed = route_entries(ENTRIES, region, homes, Random(1))
    return {entry_vm.region for entry_vm in listed}


def test_callers_get_vms_of_their_region():
    """A region with a VM serves its callers, whatever their routes' homes."""
    homes = (frozenset(('kochi',)),)
    assert listed_regions('kozhikode', homes) == {'kozhikode'}


def test_callers_without_local_vms_get_home_region():
    """Both VMs of a region restart at the same time.

    The routes of a host have no home region in common. With VMs of arbitrary
    regions, a request body could reach one that is neither a home nor the
    caller's region.
    """
    homes = (
        frozenset(('kochi',)),
        frozenset(('tvm',)),
        frozenset(('kochi', 'tvm')),
    )
    assert listed_regions('tvm', homes) == {'kochi'}


def test_callers_without_homes_get_all_vms():
    """The routes of a host have no home regions."""
    assert listed_regions('tvm', ()) == {'kochi', 'kozhikode'}


def test_no_vms_give_an_empty_list():
    """No VM is present."""
    assert route_entries((), 'tvm', (), Random(1)) == []


def listed_names(*reaches: bool) -> set[str]:
    """Return the listed VMs of a region by whether each has its paths."""
    entries = tuple(
        replace(entry(str(number), 'kochi'), reaches_upstreams=reached)
        for number, reached in enumerate(reaches)
    )
    listed = route_entries(entries, 'kochi', (), Random(1))
    return {entry_vm.name for entry_vm in listed}


def test_vms_without_paths_are_left_out_while_most_have_them():
    """Their callers' requests take a hop more.

    Few VMs could not bear the connections of all callers.
    """
    assert listed_names(True, False, True) == {'0', '2'}
    assert listed_names(True, False, False) == {'0', '1', '2'}
    assert listed_names(False, False) == {'0', '1'}
