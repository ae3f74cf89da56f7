"""Decisions under fixed seeds, and properties that hold for every input."""

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
    """Return a model engine of Kochi."""
    given_fields = {
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
        **given_fields,
    )


def summary(region='kozhikode', **fields):
    """Return another region's capacity."""
    given_fields = {
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
        **given_fields,
    )


def ask(**fields):
    """Return a request of a caller of Kochi."""
    given_fields = {
        'request_class': 'urgent',
        'model': 'm',
        'home': 'kochi',
        'allowed': frozenset(REGIONS),
        'prompt_tokens': 100,
        **fields,
    }
    return RouteRequest(caller='ward', service='chat', **given_fields)


def place(view, request, objective=LATENCY, seed=1):
    """Return a decision in short: its kind and where or why."""
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
GONE = RegionView('kochi', (), (summary(),))
KOCHI = frozenset(('kochi',))
KOZHIKODE = frozenset(('kozhikode',))


@pytest.mark.parametrize(
    ('view', 'request_case', 'objective', 'expected'),
    [
        (FREE, ask(), LATENCY, ('serve', 'e1')),
        (FREE, ask(allowed=frozenset()), LATENCY, ('refuse', 'residency')),
        (FREE, ask(allowed=KOZHIKODE), LATENCY, ('forward', 'kozhikode')),
        (FREE, ask(model='x'), LATENCY, ('refuse', 'no-upstream')),
        (FREE, ask(home='kozhikode'), LATENCY, ('serve', 'e1')),
        (FREE, ask(home='kozhikode'), STAY, ('forward', 'kozhikode')),
        (
            FREE,
            ask(excluded=frozenset(('e1',))),
            STAY,
            ('forward', 'kozhikode'),
        ),
        (BUSY, ask(), LATENCY, ('forward', 'kozhikode')),
        (BUSY, ask(deadline_s=200.0), STAY, ('forward', 'kozhikode')),
        (BUSY, ask(deadline_s=20.0), STAY, ('forward', 'kozhikode')),
        (BUSY, ask(allowed=KOCHI), LATENCY, ('refuse', 'overloaded')),
        (BUSY, ask(allowed=KOCHI, deadline_s=99.0), LATENCY, ('serve', 'e1')),
        (BUSY, ask(allowed=KOCHI, slot_share=0.5), STAY, ('wait', '')),
        (BUSY, ask(regions_visited=('split',)), STAY, ('refuse', 'overloaded')),
        (GONE, ask(), LATENCY, ('forward', 'kozhikode')),
        (
            GONE,
            ask(regions_visited=('split',)),
            STAY,
            ('refuse', 'no-upstream'),
        ),
        (
            FREE,
            ask(regions_visited=('kochi', 'split')),
            STAY,
            ('refuse', 'loop'),
        ),
        (
            FREE,
            ask(allowed=KOZHIKODE, regions_visited=('split',)),
            STAY,
            ('refuse', 'residency'),
        ),
    ],
)
def test_decisions(view, request_case, objective, expected):
    """Each row shows one rule or one weight at work."""
    assert place(view, request_case, objective) == expected


@pytest.mark.parametrize(
    ('request_case', 'expected'),
    [
        (ask(), ('serve', 'e1')),
        (ask(home='split'), ('refuse', 'isolated')),
        (ask(home='split', restricted=False), ('serve', 'e1')),
        (ask(allowed=KOZHIKODE), ('refuse', 'isolated')),
        (ask(model='x'), ('refuse', 'no-upstream')),
    ],
)
def test_isolated_vm_serves_its_own_region_only(request_case, expected):
    """The links to all other regions are cut.

    Callers of this region go on; those whose rule may have changed since are
    refused rather than served where they no longer may be.
    """
    assert place(replace(FREE, isolated=True), request_case, STAY) == expected


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
def test_no_work_for_what_leaves_or_is_silent(view, expected):
    """An upstream drains, a region falls silent, is full or has no VM left."""
    assert place(view, ask())[0] == expected


def test_long_class_leaves_the_last_slots():
    """Long jobs come faster than they end; short ones still find a slot."""
    half = RegionView('kochi', (engine(running=4),))
    assert place(half, ask(slot_share=0.5)) == ('wait', '')
    assert place(half, ask()) == ('serve', 'e1')


def test_own_sends_since_the_report_count():
    """Reports are seconds late; a VM must not flood what looked idle."""
    view = RegionView(
        'kochi',
        (engine('e1', sent_since=7, sent_tokens_since=9000), engine('e2')),
    )
    assert place(view, ask()) == ('serve', 'e2')


def test_prefix_stays_with_its_owner_until_the_bound():
    """One prefix is popular; its owner gets it while it has room."""
    engines = tuple(engine(f'e{number}') for number in range(10))
    view = RegionView('kochi', engines)
    request = ask(prefix_blocks=(11, 12, 13, 14, 15), prompt_tokens=2000)
    chosen = {place(view, request, seed=seed)[1] for seed in range(20)}
    assert len(chosen) == 1
    owner = chosen.pop()
    loaded = tuple(
        replace(each, running=8, queued=9) if each.name == owner else each
        for each in engines
    )
    moved = {
        place(RegionView('kochi', loaded), request, seed=seed)[1]
        for seed in range(20)
    }
    assert owner not in moved
    assert len(moved) == 1


def test_reported_cache_moves_the_choice():
    """A cache event tells that another upstream has the whole prefix."""
    engines = tuple(engine(f'e{number}') for number in range(10))
    request = ask(prefix_blocks=(11, 12, 13), prompt_tokens=6000)
    owner = place(RegionView('kochi', engines), request)[1]
    other = next(each.name for each in engines if each.name != owner)
    told = tuple(
        replace(each, cached_prefixes=frozenset((13,)))
        if each.name == other
        else each
        for each in engines
    )
    assert place(RegionView('kochi', told), request) == ('serve', other)


def test_refusals_spread_their_return():
    """A full region refuses a crowd, which must not return as one."""
    decisions = [
        choose(BUSY, ask(allowed=KOCHI), LATENCY, Random(seed))
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
    ask,
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
    """Whatever is known, late or missing, no rule is ever weighed away."""
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
def test_index_that_followed_equals_a_new_one(seen):
    """Upstreams come, go, restart and change their load between decisions.

    An index that kept an upstream of before would send work to one that left.
    """
    followed = ViewIndex()
    for view in seen:
        for model in ('m', 'n', None):
            group = followed.group(view, 'chat', model)
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
    """Return the first VM of the directory's order for 2,000 callers."""
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
def test_directory_moves_only_the_share_of_what_leaves(vms, fields):
    """A VM drains, dies or is removed; callers of the others stay."""
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


def test_directory_of_a_vm_that_hears_nobody():
    """A VM is cut off from all others and must not empty its directory."""
    names = [each.name for each in order_entries(VMS, 'kochi', 'x', alive=())]
    assert sorted(names) == ['k0', 'k1', 'k2', 'k3', 'z1']
    assert names[-1] == 'z1'
