"""Isolation of a VM, and which callers it then serves."""

import pytest

from godwitshunt.membership.isolation import (
    ConnectionState,
    ContactAges,
    connection_state,
    may_serve_isolated,
    requires_isolation,
)

LEASE_S = 3.0
NEVER = float('inf')


@pytest.mark.parametrize(
    ('quorum_age_s', 'regions_age_s', 'state'),
    [
        (0.0, NEVER, ConnectionState.connected),
        (2.9, 9.0, ConnectionState.connected),
        (3.0, 0.1, ConnectionState.control_lost),
        (NEVER, 2.9, ConnectionState.control_lost),
        (3.0, 3.0, ConnectionState.isolated),
        (NEVER, NEVER, ConnectionState.isolated),
    ],
)
def test_only_contact_with_a_quorum_prevents_isolation(
    quorum_age_s,
    regions_age_s,
    state,
):
    """A VM is partitioned from control, from other regions, or from both.

    The other regions may be partitioned from control too, so their replies do
    not prove that the configuration is current.
    """
    observed = connection_state(
        ContactAges(quorum_age_s, regions_age_s), LEASE_S
    )
    assert observed is state
    assert requires_isolation(observed) is (quorum_age_s >= LEASE_S)


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
def test_an_isolated_vm_serves_unrestricted_and_local_callers(
    allowed,
    home,
    serves,
):
    """An isolated VM in Split refuses restricted callers of another home."""
    regions = frozenset(allowed.split())
    all_regions = frozenset(('split', 'zagreb'))
    observed = may_serve_isolated(regions, all_regions, home, 'split')
    assert observed is serves
