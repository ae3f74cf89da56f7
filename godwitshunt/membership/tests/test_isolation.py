"""When a VM keeps to its region, and whom it serves then."""

import pytest

from godwitshunt.membership.isolation import (
    Connection,
    News,
    connection,
    holds_itself_isolated,
    may_serve_isolated,
)

LEASE_S = 3.0
NEVER = float('inf')


@pytest.mark.parametrize(
    ('quorum_age_s', 'regions_age_s', 'state'),
    [
        (0.0, NEVER, Connection.connected),
        (2.9, 9.0, Connection.connected),
        (3.0, 0.1, Connection.control_lost),
        (NEVER, 2.9, Connection.control_lost),
        (3.0, 3.0, Connection.isolated),
        (NEVER, NEVER, Connection.isolated),
    ],
)
def test_only_news_of_a_quorum_keeps_a_vm_from_isolation(
    quorum_age_s,
    regions_age_s,
    state,
):
    """A partition cuts a VM from control, from other regions, or from both.

    Other regions may be cut from control with it: their answers do not prove
    that the configuration is current.
    """
    told = connection(News(quorum_age_s, regions_age_s), LEASE_S)
    assert told is state
    assert holds_itself_isolated(told) is (quorum_age_s >= LEASE_S)


@pytest.mark.parametrize(
    ('allowed', 'home', 'serves'),
    [
        ('split zagreb', 'split', True),
        ('split zagreb', 'zagreb', True),
        ('split', 'split', True),
        ('split', 'zagreb', False),
        ('zagreb', 'split', False),
        ('zagreb', 'zagreb', False),
    ],
)
def test_an_isolated_vm_serves_the_unrestricted_and_its_own(
    allowed,
    home,
    serves,
):
    """A restricted caller of another home asks an isolated VM of Split."""
    regions = frozenset(allowed.split())
    every_region = frozenset(('split', 'zagreb'))
    told = may_serve_isolated(regions, every_region, home, 'split')
    assert told is serves
