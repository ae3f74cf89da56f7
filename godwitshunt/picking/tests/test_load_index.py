"""Upkeep of the index of upstreams by load."""

from dataclasses import replace

from godwitshunt.picking.load_index import UpstreamIndex
from godwitshunt.picking.tests.test_chooser import make_upstream, view
from godwitshunt.registry import Load
from godwitshunt.registry.ledger import SummedLoads
from godwitshunt.registry.load_table import MAX_CHANGES, LoadTable


def loads_in(service):
    """Return the loads of a service by upstream, as they are grouped."""
    return {
        record.name: (group.in_flight, tokens)
        for group in service.groups.values()
        for tokens, _, record in group.members
    }


def test_a_reader_that_is_far_behind_gets_all_loads():
    """A table forgets old changes.

    A chooser that applied only the remembered ones would go on sending
    requests to an upstream that has become full.
    """
    table = LoadTable()
    index = UpstreamIndex()
    watched = replace(view(), loads=SummedLoads((table, LoadTable())))
    index.of_service(watched, 'llm')
    table['k-0'] = Load(48, 9)
    for number in range(MAX_CHANGES + 1):
        table['k-1'] = Load(number, 0)
    loads = loads_in(index.of_service(watched, 'llm'))
    assert loads['k-0'] == (48, 9)
    assert loads['k-1'] == (MAX_CHANGES, 0)


def test_several_choosers_read_the_same_table():
    """The first reader must not take the changes from the second."""
    table = LoadTable()
    watched = replace(view(), loads=table)
    indexes = [UpstreamIndex(), UpstreamIndex()]
    for index in indexes:
        index.of_service(watched, 'llm')
    table['t-0'] = Load(3, 500)
    table.pop('t-0')
    table['t-1'] = Load(2, 100)
    for index in indexes:
        loads = loads_in(index.of_service(watched, 'llm'))
        assert loads['t-0'] == (0, 0)
        assert loads['t-1'] == (2, 100)


def test_an_upstream_that_left_the_view_is_no_longer_known():
    """A request sent to it would fail."""
    index = UpstreamIndex()
    index.of_service(view(), 'llm')
    left = {'k-1': make_upstream('k-1', 'kochi')}
    service = index.of_service(replace(view(), upstreams=left), 'llm')
    assert set(loads_in(service)) == {'k-1'}
    assert set(service.regions['kochi'].by_name) == {'k-1'}
    assert 'tvm' not in service.regions
    assert not list(index.of_service(view(), 'other').records())


def test_upstreams_of_equal_load_take_turns():
    """An idle upstream that was used last comes after the other idle ones.

    If the order were fixed, the first upstreams of the view would get every
    request of a quiet region.
    """
    table = LoadTable()
    watched = replace(view(), loads=table)
    index = UpstreamIndex()
    index.of_service(watched, 'llm')
    table['k-0'] = Load(1, 0)
    index.of_service(watched, 'llm')
    table.pop('k-0')
    service = index.of_service(watched, 'llm')
    idle = service.groups['kochi', 48, 0].members
    assert [member[2].name for member in idle] == ['k-1', 'k-2', 'k-3', 'k-0']


def test_an_upstream_that_changed_is_grouped_anew():
    """A restarted upstream may announce other slots than before.

    By its old slots it would look full, or get more than it can run.
    """
    index = UpstreamIndex()
    table = LoadTable()
    table['k-1'] = Load(5, 70)
    watched = replace(view(), loads=table)
    index.of_service(watched, 'llm')
    known = watched.upstreams['k-1']
    fewer = replace(known.announcement, slots=3)
    upstreams = {**watched.upstreams, 'k-1': replace(known, announcement=fewer)}
    service = index.of_service(replace(watched, upstreams=upstreams), 'llm')
    assert [
        member[2].name for member in service.groups['kochi', 3, 5].members
    ] == ['k-1']
    assert (
        service.regions['kochi'].by_name['k-1'].upstream.announcement is fewer
    )
