"""Keys: who holds them, where their requests go, how long that is known."""

import pytest
from pydantic import ValidationError

from godwitshunt.manifest import (
    LimitUnit,
    Manifest,
    Organisation,
    OrganisationLimit,
    Region,
    RequestClass,
    Route,
    RouteKind,
    Service,
    ServiceKind,
    WeightedService,
)
from godwitshunt.organisations import (
    FreshnessRule,
    KeyRing,
    UrgencyLevels,
    bind_route,
    key_digest,
)
from godwitshunt.organisations.binding import MAX_LEVELS

REGIONS = ('kochi', 'tvm', 'kozhikode')
ROUTE = Route(
    name='r',
    host='a.example',
    path_prefix='/',
    kind=RouteKind.idempotent,
    services=(WeightedService(service='app'),),
    timeout_s=2.0,
    rank=1,
    keyed=True,
)


def organisation(name: str, *keys: bytes, **changes) -> Organisation:
    """Return an organisation that holds keys."""
    digests = tuple(key_digest(key) for key in keys)
    return Organisation(name=name, keys_sha256=digests, **changes)


def manifest(*organisations: Organisation) -> Manifest:
    """Return a manifest with organisations."""
    return Manifest(
        number=1,
        deployment='d',
        regions=tuple(Region(name=name) for name in REGIONS),
        services=(Service(name='app', kind=ServiceKind.plain),),
        classes=(RequestClass(name='c'),),
        routes=(ROUTE,),
        organisations=organisations,
    )


def test_two_organisations_must_not_share_a_key():
    """Whose requests these are could not be told; the key stays untold."""
    shared = organisation('one', b'k-1'), organisation('two', b'k-1')
    with pytest.raises(ValidationError, match='one and two share a key') as bad:
        manifest(*shared)
    assert key_digest(b'k-1') not in bad.value.errors()[0]['msg']


@pytest.mark.parametrize(
    ('fields', 'told'),
    [
        ({'name': ''}, 'name'),
        ({'name': 'with blank'}, 'name'),
        ({'name': 'line\r\nbreak'}, 'name'),
        ({'keys_sha256': ('short',)}, 'keys_sha256'),
        ({'rank': -1}, 'rank'),
        ({'limit': {'per_s': -1.0}}, 'per_s'),
        ({'limit': {'per_s': 1.0, 'burst': -1.0}}, 'burst'),
        ({'limit': {'per_s': float('inf')}}, 'per_s'),
        ({'limit': {'per_s': 1.0, 'unit': 'words'}}, 'unit'),
    ],
)
def test_fault_of_an_organisation_is_refused_by_its_field(fields, told):
    """An operator mistypes a field; the one before must stay in force."""
    with pytest.raises(ValidationError) as bad:
        Organisation(**{'name': 'wards', **fields})
    assert told in {str(part) for part in bad.value.errors()[0]['loc']}


@pytest.mark.parametrize(
    'organisations',
    [
        (organisation('one'), organisation('one')),
        (organisation('one', homes=('nowhere',)),),
    ],
)
def test_names_stand_once_and_homes_are_regions(organisations):
    """Two of one name, or a home that is no region, leave rules unclear."""
    with pytest.raises(ValidationError, match='organisations'):
        manifest(*organisations)


def test_a_key_is_found_only_while_it_is_held():
    """A key is taken away, and given to another organisation."""
    one, two = organisation('one', b'k-1', b'k-2'), organisation('two', b'k-3')
    before = KeyRing.from_organisations((one, two))
    moved = organisation('two', b'k-3', b'k-1')
    after = KeyRing.from_organisations((organisation('one', b'k-2'), moved))
    assert before.find(b'k-1') == one
    assert after.find(b'k-1') == moved
    assert before.still_holds(one, key_digest(b'k-1'))
    assert not after.still_holds(one, key_digest(b'k-1'))
    assert after.find(b'') is None


@pytest.mark.parametrize(
    ('of_route', 'of_organisation', 'both'),
    [
        ((), (), ()),
        (('kochi', 'tvm'), (), ('kochi', 'tvm')),
        ((), ('tvm',), ('tvm',)),
        (('kochi', 'tvm'), ('tvm', 'kozhikode'), ('tvm',)),
        (('kochi',), ('tvm',), None),
    ],
)
def test_homes_of_route_and_organisation_both_bind(
    of_route,
    of_organisation,
    both,
):
    """What either forbids is forbidden; no common home is no place at all."""
    route = ROUTE.model_copy(update={'homes': of_route})
    bound = bind_route(route, organisation('wards', homes=of_organisation))
    assert (bound and bound.homes) == both


@pytest.mark.parametrize(
    ('ranks', 'level'),
    [((1, 0), 0), ((1, 1), 1), ((2, 0), 2), ((2, 1), 3), ((0, 0), 0)],
)
def test_organisation_goes_before_route_and_route_before_equals(ranks, level):
    """All organisations of a deployment are of one rank.

    With theirs in place of the routes', short questions waited behind long
    prompts: twenty times as many were refused on a heavy day.
    """
    levels = UrgencyLevels(organisations=(1, 2), routes=(0, 1))
    assert levels.of(*ranks) == level


def test_more_levels_than_queues_tell_apart_keep_their_order():
    """Neighbours share a level; none passes one that goes before it."""
    ranks = tuple(range(5))
    levels = UrgencyLevels(ranks, ranks)
    found = [levels.of(one, other) for one in ranks for other in ranks]
    assert found == sorted(found)
    assert set(found) == set(range(MAX_LEVELS))


@pytest.mark.parametrize(
    ('age_s', 'holds'),
    [(0.0, True), (4.8, True), (4.95, False), (float('inf'), False)],
)
def test_a_proof_holds_for_less_than_the_revocation_allows(age_s, holds):
    """A VM is cut off, and its callers' keys are taken away meanwhile."""
    assert FreshnessRule(5.0).holds(age_s) is holds
    assert FreshnessRule(None).holds(age_s)


@pytest.mark.parametrize(
    ('unit', 'tokens', 'cost'),
    [
        (LimitUnit.tokens, 1540, 1540),
        (LimitUnit.tokens, 0, 200),
        (LimitUnit.requests, 1540, 1),
    ],
)
def test_a_request_counts_in_its_limits_unit(unit, tokens, cost):
    """Plain calls tell no tokens and would else be free."""
    limit = OrganisationLimit(per_s=9.0, unit=unit, untold_tokens=200)
    assert limit.cost(tokens) == cost
