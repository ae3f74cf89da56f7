"""What the directory of the platform logs of regions without machines."""

from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.registry import EntryRecord
from godwitshunt.settings import Address

FOLDER = Path(__file__).parent.parent / 'platform'
HOST = 'lora.example'


@pytest.fixture
def directory(monkeypatch):
    """Return the module with its log lines kept in a list."""
    monkeypatch.syspath_prepend(str(FOLDER))
    from platform_adapter import directory_calls

    lines = []
    monkeypatch.setattr(
        directory_calls,
        'log_change',
        lambda kind, **fields: lines.append((kind, fields['named'])),
    )
    calls = directory_calls.DirectoryCalls(tuple, lambda host: ())
    return SimpleNamespace(
        calls=calls,
        lines=lines,
        most=directory_calls.MOST_NOTED,
    )


def entry(region):
    """Return an entry VM."""
    address = Address(host='10.0.0.1', port=80)
    return EntryRecord(region, 's', region, region, address, address, True)


def test_a_region_without_machines_is_logged_when_it_begins_and_ends(
    directory,
):
    """Both machines of a region lose power, and clients ask on.

    A line at each call would hide what else happens.
    """
    note = directory.calls.note_regions
    for _ in range(20):
        note(HOST, 'tvm', [entry('kochi')])
    for _ in range(20):
        note(HOST, 'tvm', [entry('tvm'), entry('kochi')])
    assert [named for _, named in directory.lines] == [
        ['kochi'],
        ['kochi', 'tvm'],
    ]


def test_a_region_that_is_served_by_itself_is_not_logged(directory):
    """That is every call of a calm day."""
    directory.calls.note_regions(HOST, 'tvm', [entry('tvm')])
    assert directory.lines == []


def test_callers_that_name_any_host_do_not_fill_the_memory(directory):
    """Hosts and regions stand in calls as their senders wrote them."""
    random = Random(1)
    for _ in range(3 * directory.most):
        host = f'{random.random()}'
        directory.calls.note_regions(host, 'tvm', [entry('kochi')])
    assert len(directory.calls.elsewhere) <= directory.most
