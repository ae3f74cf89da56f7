"""Tests of decisions with fixed seeds, and properties of all decisions."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.configuration.revision import VmRecord, VmRole
from godwitshunt.manifest import Objective
from godwitshunt.membership.views import (
    RegionSummary,
    RegionView,
    UpstreamView,
)
from godwitshunt.routing import (
    Forward,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
    Wait,
    choose,
    order_entries,
)
from godwitshunt.routing.index import ViewIndex
from godwitshunt.settings import Address

ADDRESS = Address(host='127.0.0.1', port=1)
REGIONS = ('kochi', 'kozhikode', 'split')
LATENCY = Objective(latency=1.0)
STAY = Objective(latency=1.0, share_away=30.0)


def engine(name='e1', **fields):
    """Return a model engine of the region kochi."""
    defaults = {
        'region': 'kochi',
        'service': 'chat',
        'models': frozenset(('m',)),
        'slots': 8,
        **fields,
    }
    return UpstreamView(
        name=name,
        address=ADDRESS,
        incarnation=1,
        **defaults,
    )


def summary(region='kozhikode', **fields):
    """Return the summary of another region."""
    defaults = {
        'model': 'm',
        'free_slots': 8,
        'slots': 8,
        'wait_s': 0.1,
        'age_s': 0.5,
        'vms': ((f'{region}-1', ADDRESS), (f'{region}-2', ADDRESS)),
        **fields,
    }
    return RegionSummary(
        region=region,
        service='chat',
        price=1.0,
        round_trip_s=0.04,
        **defaults,
    )


def make_request(**fields):
    """Return a request of a caller whose home is kochi."""
    defaults = {
        'request_class': 'urgent',
        'model': 'm',
        'home': 'kochi',
        'allowed': frozenset(REGIONS),
        'prompt_tokens': 100,
        **fields,
    }
    return RouteRequest(caller='ward', service='chat', **defaults)


def decide(view, request, objective=LATENCY, seed=1):
    """Return the kind of a decision, and its destination or reason."""
    decision = choose(view, request, objective, Random(seed))
    match decision:
        case Serve(upstream):
            return ('serve', upstream.name)
        case Forward(region):
            return ('forward', region)
        case Wait():
            return ('wait', '')
        case Refuse(reason):
            return ('refuse', reason.value)


FREE = RegionView('kochi', (engine(),), (summary(),))
BUSY = RegionView(
    'kochi',
    (engine(running=8, queued=40, queued_tokens=60000),),
    (summary(),),
)
WITHOUT_UPSTREAMS = RegionView('kochi', (), (summary(),))
KOCHI = frozenset(('kochi',))
KOZHIKODE = frozenset(('kozhikode',))


@pytest.mark.parametrize(
    ('view', 'request_case', 'objective', 'expected'),
    [
        (FREE, make_request(), LATENCY, ('serve', 'e1')),
        (
            FREE,
            make_request(allowed=frozenset()),
            LATENCY,
            ('refuse', 'residency'),
        ),
        (
            FREE,
            make_request(allowed=KOZHIKODE),
            LATENCY,
            ('forward', 'kozhikode'),
        ),
        (FREE, make_request(model='x'), LATENCY, ('refuse', 'no-upstream')),
        (FREE, make_request(home='kozhikode'), LATENCY, ('serve', 'e1')),
        (FREE, make_request(home='kozhikode'), STAY, ('forward', 'kozhikode')),
        (
            FREE,
            make_request(excluded=frozenset(('e1',))),
            STAY,
            ('forward', 'kozhikode'),
        ),
        (BUSY, make_request(), LATENCY, ('forward', 'kozhikode')),
        (BUSY, make_request(deadline_s=200.0), STAY, ('forward', 'kozhikode')),
        (BUSY, make_request(deadline_s=20.0), STAY, ('forward', 'kozhikode')),
        (BUSY, make_request(allowed=KOCHI), LATENCY, ('refuse', 'overloaded')),
        (
            BUSY,
            make_request(allowed=KOCHI, deadline_s=99.0),
            LATENCY,
            ('serve', 'e1'),
        ),
        (BUSY, make_request(allowed=KOCHI, slot_share=0.5), STAY, ('wait', '')),
        (
            BUSY,
            make_request(regions_visited=('split',)),
            STAY,
            ('refuse', 'overloaded'),
        ),
        (WITHOUT_UPSTREAMS, make_request(), LATENCY, ('forward', 'kozhikode')),
        (
            WITHOUT_UPSTREAMS,
            make_request(regions_visited=('split',)),
            STAY,
            ('refuse', 'no-upstream'),
        ),
        (
            FREE,
            make_request(regions_visited=('kochi', 'split')),
            STAY,
            ('refuse', 'loop'),
        ),
        (
            FREE,
            make_request(allowed=KOZHIKODE, regions_visited=('split',)),
            STAY,
            ('refuse', 'residency'),
        ),
    ],
)
def test_decisions_by_rule_and_weight(view, request_case, objective, expected):
    """Each case tests one rule or one weight."""
    assert decide(view, request_case, objective) == expected


@pytest.mark.parametrize(
    ('request_case', 'expected'),
    [
        (make_request(), ('serve', 'e1')),
        (make_request(home='split'), ('refuse', 'isolated')),
        (make_request(home='split', restricted=False), ('serve', 'e1')),
        (make_request(allowed=KOZHIKODE), ('refuse', 'isolated')),
        (make_request(model='x'), ('refuse', 'no-upstream')),
    ],
)
def test_isolated_vm_serves_its_own_region_only(request_case, expected):
    """The links to all other regions are down.

    Callers of this region are still served. Others are refused if their
    residency rule may have changed in the meantime.
    """
    assert decide(replace(FREE, isolated=True), request_case, STAY) == expected


@pytest.mark.parametrize(
    ('view', 'expected'),
    [
        (RegionView('kochi', (engine(leaving=True),)), 'refuse'),
        (RegionView('kochi', (engine(leaving=True), engine('e2'))), 'serve'),
        (RegionView('kochi', (), (summary(age_s=6.0),)), 'refuse'),
        (RegionView('kochi', (), (summary(free_slots=0),)), 'refuse'),
        (RegionView('kochi', (), (summary(vms=()),)), 'refuse'),
    ],
)
def test_draining_and_stale_destinations_get_nothing(view, expected):
    """An upstream drains; a region is stale, full or has no VM."""
    assert decide(view, make_request())[0] == expected


def test_long_class_leaves_slots_for_others():
    """Long jobs arrive faster than they end; short ones still get a slot."""
    half = RegionView('kochi', (engine(running=4),))
    assert decide(half, make_request(slot_share=0.5)) == ('wait', '')
    assert decide(half, make_request()) == ('serve', 'e1')


def test_requests_sent_since_the_report_count():
    """Reports lag, so a VM must count what it sent since the last one."""
    view = RegionView(
        'kochi',
        (engine('e1', sent_since=7, sent_tokens_since=9000), engine('e2')),
    )
    assert decide(view, make_request()) == ('serve', 'e2')


def test_prefix_stays_with_owner_below_load_bound():
    """The owner of a popular prefix is chosen while it has free capacity."""
    engines = tuple(engine(f'e{number}') for number in range(10))
    view = RegionView('kochi', engines)
    request = make_request(
        prefix_blocks=(11, 12, 13, 14, 15), prompt_tokens=2000
    )
    chosen = {decide(view, request, seed=seed)[1] for seed in range(20)}
    assert len(chosen) == 1
    owner = chosen.pop()
    loaded = tuple(
        replace(each, running=8, queued=9) if each.name == owner else each
        for each in engines
    )
    moved = {
        decide(RegionView('kochi', loaded), request, seed=seed)[1]
        for seed in range(20)
    }
    assert owner not in moved
    assert len(moved) == 1


def test_reported_cache_overrides_owner():
    """A cache event reports that another upstream has the whole prefix."""
    engines = tuple(engine(f'e{number}') for number in range(10))
    request = make_request(prefix_blocks=(11, 12, 13), prompt_tokens=6000)
    owner = decide(RegionView('kochi', engines), request)[1]
    other = next(each.name for each in engines if each.name != owner)
    reported = tuple(
        replace(each, cached_prefixes=frozenset((13,)))
        if each.name == other
        else each
        for each in engines
    )
    assert decide(RegionView('kochi', reported), request) == ('serve', other)


def test_refusals_have_jittered_retry():
    """Requests that a full region refuses must not retry at the same time."""
    decisions = [
        choose(BUSY, make_request(allowed=KOCHI), LATENCY, Random(seed))
        for seed in range(50)
    ]
    times = sorted(decision.retry_after_s for decision in decisions)
    assert times[0] >= 1
    assert times[-1] > 1.5 * times[0]


small = st.integers(min_value=0, max_value=20)
upstreams = st.builds(
    engine,
    st.sampled_from([f'e{number}' for number in range(12)]),
    running=small,
    queued=small,
    queued_tokens=st.integers(min_value=0, max_value=40000),
    sent_since=small,
    leaving=st.booleans(),
    cached_prefixes=st.frozensets(st.integers(1, 6)),
    models=st.sampled_from([frozenset(('m',)), frozenset(('n',))]),
)
summaries = st.builds(
    summary,
    st.sampled_from(REGIONS),
    free_slots=st.integers(0, 8),
    age_s=st.floats(0, 10),
    wait_s=st.floats(0, 40),
)
views = st.builds(
    RegionView,
    st.just('kochi'),
    st.lists(upstreams, max_size=8, unique_by=lambda each: each.name).map(
        tuple,
    ),
    st.lists(summaries, max_size=3, unique_by=lambda each: each.region).map(
        tuple,
    ),
    st.booleans(),
)
requests = st.builds(
    make_request,
    home=st.sampled_from(REGIONS),
    allowed=st.frozensets(st.sampled_from(REGIONS)),
    restricted=st.booleans(),
    prefix_blocks=st.lists(st.integers(1, 6), max_size=4).map(tuple),
    deadline_s=st.floats(0.1, 60),
    slot_share=st.sampled_from([0.25, 1.0]),
    excluded=st.frozensets(st.sampled_from(['e1', 'e2', 'kozhikode-1'])),
    path=st.sampled_from([(), ('kozhikode-2',)]),
    regions_visited=st.lists(st.sampled_from(REGIONS), max_size=2).map(tuple),
)
objectives = st.sampled_from([LATENCY, STAY, Objective(cost=5.0)])


@settings(derandomize=True, max_examples=400, deadline=None)
@given(views, requests, objectives, st.integers(0, 9), st.randoms())
def test_rules_hold_for_every_decision(view, request, objective, seed, order):
    """Hard rules hold for any view, however incomplete or stale."""
    decision = choose(view, request, objective, Random(seed))
    shuffled = replace(
        view,
        upstreams=tuple(order.sample(view.upstreams, len(view.upstreams))),
        summaries=tuple(order.sample(view.summaries, len(view.summaries))),
    )
    assert choose(shuffled, request, objective, Random(seed)) == decision
    match decision:
        case Serve(upstream):
            assert 'kochi' in request.allowed
            assert not upstream.leaving
            assert upstream.name not in request.excluded
            assert 'm' in upstream.models
            restricted = request.restricted and request.home != 'kochi'
            assert not (view.isolated and restricted)
        case Forward(region, vm):
            assert region in request.allowed
            assert region != 'kochi'
            assert not view.isolated
            assert set(request.regions_visited) <= {'kochi'}
            assert vm not in request.path
        case Wait(delay_s):
            assert 0 < delay_s < request.deadline_s * 2
        case Refuse(reason):
            assert reason is not RefusalReason.limited


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(views, min_size=2, max_size=4))
def test_updated_index_equals_new_index(view_sequence):
    """Upstreams join, leave, restart and change load between decisions.

    An index with stale members would send requests to a removed upstream.
    """
    updated_index = ViewIndex()
    for view in view_sequence:
        for model in ('m', 'n', None):
            group = updated_index.group(view, 'chat', model)
            fresh = ViewIndex().group(view, 'chat', model)
            assert group.members == fresh.members
            assert (group.in_flight, group.slots) == (
                fresh.in_flight,
                fresh.slots,
            )
            assert group.first_owners(7) == fresh.first_owners(7)


def vm(name, region='kochi', role=VmRole.entry):
    """Return a VM's record."""
    return VmRecord(name, region, 'f1', role, ADDRESS, ADDRESS)


VMS = (
    *(vm(f'k{number}') for number in range(4)),
    vm('z1', 'kozhikode'),
    vm('c1', role=VmRole.control),
)


def first_entries(vms, **fields):
    """Return the first VM of the directory for each of 2,000 callers."""
    return [
        order_entries(vms, 'kochi', f'caller-{number}', **fields)[0].name
        for number in range(2000)
    ]


@pytest.mark.parametrize(
    ('vms', 'fields'),
    [
        (VMS, {'draining': {'k2'}}),
        (VMS, {'alive': {'k0', 'k1', 'k3', 'z1'}}),
        (tuple(each for each in VMS if each.name != 'k2'), {}),
    ],
)
def test_directory_moves_only_callers_of_absent_vm(vms, fields):
    """A VM drains, fails or is removed; the others keep their callers."""
    before = first_entries(VMS)
    after = first_entries(vms, **fields)
    moved = [
        new
        for old, new in zip(before, after, strict=True)
        if old != new or old == 'k2'
    ]
    assert len(moved) == before.count('k2')
    assert 'k2' not in after
    for name in ('k0', 'k1', 'k2', 'k3'):
        assert 400 < before.count(name) < 600


def test_directory_of_partitioned_vm():
    """A partitioned VM must not return an empty directory."""
    names = [each.name for each in order_entries(VMS, 'kochi', 'x', alive=())]
    assert sorted(names) == ['k0', 'k1', 'k2', 'k3', 'z1']
    assert names[-1] == 'z1'
