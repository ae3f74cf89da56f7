"""Heartbeats of another writer name no server, and cost none its place."""

import json
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.waiting_caller import Presence
from godwitshunt.peer import decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.service import RegistryService
from godwitshunt.registry.table import Foreign, Stale, Taken
from godwitshunt.registry.tests.deployment import control_location
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import VirtualTimerService

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'platform'))

from platform_adapter.announcements import read_heartbeat
from platform_adapter.control_calls import ControlCalls

SOUND = {
    'service': 'llm',
    'address': '10.128.0.9:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 48,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'stage': 'both',
    'sequence': 4,
    'born': 1_790_000_000_000,
}
REQUIRED = (
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'cold_remaining_ms',
    'sequence',
)
WRONG = (
    ('state', 'starting'),
    ('state', 7),
    ('state', None),
    ('service', 3),
    ('service', ''),
    ('zone', ['zone-a']),
    ('address', 'engine.internal:8080'),
    ('address', '10.128.0.9'),
    ('address', '10.128.0.9:0'),
    ('address', '10.128.0.9:99999'),
    ('address', '300.1.1.1:80'),
    ('slots', 0),
    ('slots', '48'),
    ('slots', 2**40),
    ('sequence', '4'),
    ('sequence', True),
    ('sequence', -1),
    ('sequence', 2**63),
    ('cold_remaining_ms', -5),
    ('cold_remaining_ms', 1e300),
    ('cold_remaining_ms', '0'),
    ('born', 'yesterday'),
    ('born', 1.5),
    ('born', 2**80),
    ('shutdown_in_ms', 'soon'),
)
JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(list(SOUND.values())),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def read(instance='i-1', **changes):
    """Read a heartbeat with some fields changed."""
    return read_heartbeat(instance, json.dumps({**SOUND, **changes}).encode())


@pytest.mark.parametrize(('name', 'found'), WRONG)
def test_a_wrong_field_is_refused_by_its_name(name, found):
    """Another program writes heartbeats with fields of its own.

    An upstream in a state that is not known would get callers' requests.
    """
    with pytest.raises(DocumentError) as refused:
        read(**{name: found})
    assert name in str(refused.value)


@pytest.mark.parametrize('name', REQUIRED)
def test_a_missing_field_is_refused_by_its_name(name):
    """A writer leaves out what the pages say that a server tells."""
    partial = {key: told for key, told in SOUND.items() if key != name}
    with pytest.raises(DocumentError) as refused:
        read_heartbeat('i-1', json.dumps(partial).encode())
    assert name in str(refused.value)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff\xfe\x00',
        b'[]',
        b'"x"',
        b'{"a":' * 9000,
        b'{"service":"\xed"',
    ],
)
def test_unreadable_bytes_are_refused(body):
    """The bytes are no document at all."""
    with pytest.raises(DocumentError):
        read_heartbeat('i-1', body)


def test_unknown_fields_change_nothing():
    """New fields may come."""
    assert read(news={'deep': [1]}) == read()


def started() -> RegistryService:
    """Return a control VM's registry that has just started."""
    return RegistryService(
        control_location(), None, VirtualTimerService(), Metrics()
    )


@settings(max_examples=300, deadline=None)
@given(
    changes=st.dictionaries(
        st.sampled_from([*SOUND, 'shutdown_in_ms', 'other']), JUNK, max_size=4
    ),
    instance=st.text(max_size=8),
    raw=st.binary(max_size=40) | st.none(),
)
def test_whatever_comes_the_others_hold(changes, instance, raw):
    """Any bytes come as a heartbeat, beside a sound server's own.

    A number that a message between VMs cannot hold would end every poll, and
    all servers would be lost for good with it.
    """
    service = started()
    assert service.announce(read()) == Taken()
    body = raw
    if raw is None:
        body = json.dumps({**SOUND, **changes}).encode()
    try:
        told = read_heartbeat(instance, body)
    except DocumentError:
        told = None
    if told is not None:
        service.announce(told)
    poll = ttypes.Poll(held=[], prefixes=[], prefixes_version=0)
    reply = decode(ttypes.PollReply, encode(service.reply(poll)))
    assert len(reply.tables) == 1
    assert 'i-1' in {one.instance for one in reply.tables[0].upstreams}
    if instance != 'i-1':
        assert service.announce(read(sequence=5)) == Taken()


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'service': 'other'}, 'service'),
        ({'address': '10.128.0.66:80'}, 'address'),
        ({'zone': 'zone-z'}, 'failure_domain'),
    ],
)
def test_another_place_under_a_known_name_is_refused(changes, field):
    """Another writer uses a sound server's id, with a count far ahead.

    Taken over, the server's callers would be sent elsewhere, and its own
    heartbeats would be late ones from then on.
    """
    service = started()
    service.announce(read())
    assert service.announce(read(sequence=900, **changes)) == Foreign(field)
    assert service.announce(read(sequence=5)) == Taken()
    assert service.announce(read(sequence=5)) == Stale()


@pytest.mark.parametrize(
    ('method', 'state', 'waits'),
    [
        ('PUT', 'ready', False),
        ('PUT', 'draining', True),
        ('DELETE', '', True),
    ],
)
@pytest.mark.parametrize('on_disk', [True, False])
async def test_leaving_is_acknowledged_once_it_is_on_disk(
    method,
    state,
    waits,
    on_disk,
):
    """Power may be lost right after an acknowledgement.

    A server that was told that it may exit would get requests of those who
    remember it as ready.
    """
    service = started()
    asked = []

    async def flush():
        asked.append(dict(service.upstreams.entries))
        return on_disk

    service.departures.flush = flush
    calls = ControlCalls(None, service, frozenset())
    body = json.dumps({**SOUND, 'state': state}).encode()
    request = SimpleNamespace(
        method=method,
        path='/-/instances/i-1',
        body=body,
    )
    answer = await calls.answer(request)
    assert bool(asked) is waits
    refused = waits and not on_disk
    expected = 503 if refused else 200
    assert answer.status == expected


class FakeCaller:
    """A caller of a departure that is seen in one way."""

    def __init__(self, presence):
        self.seen = presence

    async def presence(self):
        """Tell whether the caller waits."""
        return self.seen


@pytest.mark.parametrize('presence', list(Presence))
async def test_a_late_departure_ends_no_newer_start(presence):
    """A frozen VM read a departure after the server had started again."""
    service = started()
    service.departures.flush = flush_at_once
    calls = ControlCalls(None, service, frozenset())
    service.announce(read_heartbeat('i-1', json.dumps(SOUND).encode()))
    departure = SimpleNamespace(
        method='DELETE', path='/-/instances/i-1', body=b''
    )
    answer = await calls.answer(departure, FakeCaller(presence))
    has_left = 'i-1' not in service.upstreams.entries
    assert has_left == (presence is Presence.waiting)
    assert answer.status == {True: 200, False: 503}[has_left]


async def flush_at_once():
    """Tell that all is on disk."""
    return True
