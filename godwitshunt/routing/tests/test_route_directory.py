"""Which entry VMs callers of routes are sent to."""

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


def regions(region: str, homes: tuple[frozenset[str], ...]) -> set[str]:
    """Return the regions that a caller is sent to."""
    found = route_entries(ENTRIES, region, homes, Random(1))
    return {one.region for one in found}


def test_callers_stay_in_their_region():
    """A region with a VM keeps its callers, whatever their routes' homes."""
    homes = (frozenset(('kochi',)),)
    assert regions('kozhikode', homes) == {'kozhikode'}


def test_callers_of_a_region_without_vms_go_home():
    """Both VMs of a region restart at once.

    Routes of one host have homes that no region shares; sent to any region, a
    caller's body would reach one that is neither its home nor the caller's.
    """
    homes = (
        frozenset(('kochi',)),
        frozenset(('tvm',)),
        frozenset(('kochi', 'tvm')),
    )
    assert regions('tvm', homes) == {'kochi'}


def test_callers_without_homes_go_anywhere():
    """Nothing binds the routes of a host."""
    assert regions('tvm', ()) == {'kochi', 'kozhikode'}


def test_nothing_is_named_where_nobody_serves():
    """Every VM is gone."""
    assert route_entries((), 'tvm', (), Random(1)) == []
