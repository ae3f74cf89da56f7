"""Keys of organisations, their routes and urgency, and key freshness."""

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
    """Return an organisation with keys."""
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
    """Requests with the key would be ambiguous; the error omits the key."""
    both = organisation('one', b'k-1'), organisation('two', b'k-1')
    with pytest.raises(
        ValidationError, match='one and two share a key'
    ) as raised:
        manifest(*both)
    assert key_digest(b'k-1') not in raised.value.errors()[0]['msg']


@pytest.mark.parametrize(
    ('fields', 'invalid_field'),
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
def test_invalid_organisation_is_refused_with_its_field(fields, invalid_field):
    """An operator mistypes a field; the previous manifest stays active."""
    with pytest.raises(ValidationError) as raised:
        Organisation(**{'name': 'wards', **fields})
    assert invalid_field in {
        str(part) for part in raised.value.errors()[0]['loc']
    }


@pytest.mark.parametrize(
    'organisations',
    [
        (organisation('one'), organisation('one')),
        (organisation('one', homes=('nowhere',)),),
    ],
)
def test_duplicate_names_and_unknown_homes_are_refused(organisations):
    """With either of them the rules of an organisation are ambiguous."""
    with pytest.raises(ValidationError, match='organisations'):
        manifest(*organisations)


def test_a_key_is_found_for_its_current_organisation_only():
    """A key is removed from one organisation and added to another."""
    first, second = (
        organisation('one', b'k-1', b'k-2'),
        organisation('two', b'k-3'),
    )
    before = KeyRing.from_organisations((first, second))
    moved = organisation('two', b'k-3', b'k-1')
    after = KeyRing.from_organisations((organisation('one', b'k-2'), moved))
    assert before.find(b'k-1') == first
    assert after.find(b'k-1') == moved
    assert before.still_holds(first, key_digest(b'k-1'))
    assert not after.still_holds(first, key_digest(b'k-1'))
    assert after.find(b'') is None


@pytest.mark.parametrize(
    ('route_homes', 'organisation_homes', 'common_homes'),
    [
        ((), (), ()),
        (('kochi', 'tvm'), (), ('kochi', 'tvm')),
        ((), ('tvm',), ('tvm',)),
        (('kochi', 'tvm'), ('tvm', 'kozhikode'), ('tvm',)),
        (('kochi',), ('tvm',), None),
    ],
)
def test_homes_of_route_and_organisation_are_intersected(
    route_homes,
    organisation_homes,
    common_homes,
):
    """A region must be permitted by both; none may be left."""
    route = ROUTE.model_copy(update={'homes': route_homes})
    bound = bind_route(route, organisation('wards', homes=organisation_homes))
    assert (bound and bound.homes) == common_homes


@pytest.mark.parametrize(
    ('ranks', 'level'),
    [((1, 0), 0), ((1, 1), 1), ((2, 0), 2), ((2, 1), 3), ((0, 0), 0)],
)
def test_urgency_is_by_organisation_and_then_by_route(ranks, level):
    """All organisations of a deployment may have the same rank.

    When it replaced the rank of the route, short requests waited behind long
    prompts, and twenty times as many were refused on a heavy day.
    """
    levels = UrgencyLevels(organisations=(1, 2), routes=(0, 1))
    assert levels.of(*ranks) == level


def test_merged_levels_keep_their_order():
    """With more levels than queues distinguish, adjacent ones are merged."""
    ranks = tuple(range(5))
    levels = UrgencyLevels(ranks, ranks)
    levels_found = [
        levels.of(first, second) for first in ranks for second in ranks
    ]
    assert levels_found == sorted(levels_found)
    assert set(levels_found) == set(range(MAX_LEVELS))


@pytest.mark.parametrize(
    ('age_s', 'holds'),
    [(0.0, True), (4.8, True), (4.95, False), (float('inf'), False)],
)
def test_a_proof_expires_before_the_revocation_time(age_s, holds):
    """A VM is partitioned while the keys of its callers are revoked."""
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
def test_a_request_is_charged_in_the_unit_of_its_limit(unit, tokens, cost):
    """Plain calls declare no tokens and would be free without a default."""
    limit = OrganisationLimit(per_s=9.0, unit=unit, untold_tokens=200)
    assert limit.cost(tokens) == cost
