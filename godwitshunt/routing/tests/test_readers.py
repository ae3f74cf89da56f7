"""Which upstreams read long prompts."""

from godwitshunt.routing.readers import long_readers

REGIONS = {
    'kochi': [f'k-{number}' for number in range(4)],
    'tvm': [f't-{number}' for number in range(3)],
    'kozhikode': ['z-0', 'z-1'],
}


def test_every_vm_works_out_the_same_part():
    """VMs hear of upstreams in different orders, and none tells another."""
    reordered = {
        region: list(reversed(names))
        for region, names in reversed(REGIONS.items())
    }
    assert long_readers(REGIONS, ()) == long_readers(reordered, ())


def test_each_region_has_both_parts_where_it_has_two_upstreams():
    """A region that is cut off serves both kinds of prompt by itself."""
    readers = long_readers(REGIONS, ())
    for names in REGIONS.values():
        assert readers.intersection(names)
        assert readers.union(names) - readers


def test_a_quiet_region_reads_long_prompts_only():
    """Short questions may not go there at all."""
    readers = long_readers(REGIONS, frozenset(('kozhikode',)))
    assert readers.issuperset(REGIONS['kozhikode'])


def test_the_loss_of_an_upstream_moves_few_others():
    """Each one that changes its part must read prompts that it lacks."""
    before = long_readers(REGIONS, ())
    for region, names in REGIONS.items():
        for lost in names:
            left = [name for name in names if name != lost]
            after = long_readers({**REGIONS, region: left}, ())
            assert len(before - {lost} - after) + len(after - before) <= 1
