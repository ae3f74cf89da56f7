"""Tests of what a control replica expects each VM to hold."""

from dataclasses import replace

import pytest

from godwitshunt.configuration.heartbeats import (
    HeartbeatRecord,
    HeartbeatTable,
)
from godwitshunt.configuration.revision import VmRecord, VmRole
from godwitshunt.settings import Address

ADDRESS = Address(host='10.0.0.1', port=80)
VM = VmRecord('e-1', 'north', 'a', VmRole.entry, ADDRESS, ADDRESS, 'first')


@pytest.fixture
def table():
    """Return a table with a VM that holds revision 4 and was sent 6."""
    known = HeartbeatTable()
    known.record(HeartbeatRecord(VM, 4, received_at=1.0))
    known.record_sent(VM, 6)
    return known


def test_deltas_build_on_what_was_sent_since_the_heartbeat(table):
    """A second change within a heartbeat period is a delta to the first.

    A delta to the revision of the last heartbeat would not apply.
    """
    assert table.expected_revision(table.by_name['e-1']) == 6


def test_sent_updates_are_not_taken_for_applied_ones(table):
    """An update was lost; its acceptance must still wait for the VM."""
    assert not table.has_applied('e-1', 6)


def test_restarted_vm_holds_what_it_reports(table):
    """A process that restarted without a disk lost what was sent to it."""
    restarted = replace(VM, session='second')
    table.record(HeartbeatRecord(restarted, 3, received_at=2.0))
    assert table.expected_revision(table.by_name['e-1']) == 3


def test_newer_heartbeat_counts(table):
    """Another replica sent a newer revision meanwhile."""
    table.record(HeartbeatRecord(VM, 9, received_at=2.0))
    assert table.expected_revision(table.by_name['e-1']) == 9


def test_absent_vms_are_forgotten(table):
    """The table must not grow with every VM that ever existed."""
    table.expire(before=5.0)
    assert not table.by_name
    assert not table.sent
