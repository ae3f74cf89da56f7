"""Messages from the wire, whole and damaged."""

import itertools
from dataclasses import replace

import pytest

from godwitshunt.consensus import messages as own
from godwitshunt.consensus.codec import decode_message, encode_message
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.members import Membership, ReplicaId
from godwitshunt.consensus.tests.cluster import ADDRESS
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode

A = ReplicaId('a', '1')
HEADER = own.Header(3, A, ReplicaId('b', '2'))
ENTRIES = tuple(
    own.Entry(index, 3, own.EntryKind.payload, b'payload') for index in (5, 6)
)
MEMBERS = Membership().with_learner(A, ADDRESS).with_voter(A)
MESSAGES = (
    own.VoteRequest(HEADER, 5, 3, pre_vote=True),
    own.VoteReply(HEADER, granted=True, pre_vote=False),
    own.AppendRequest(HEADER, 4, 3, ENTRIES, 4, 1.5, -1.0, 0.25),
    own.AppendReply(HEADER, success=False, index=4, sent_s=1.5),
    own.SnapshotChunk(HEADER, 4, 3, MEMBERS, 8, 16, b'chunk', 1.5),
    own.SnapshotReply(HEADER, 4, 8, 1.5),
)


def read(body: bytes) -> own.Message:
    """Read a message as the transport does."""
    return decode_message(decode(wire.ReplicaMessage, body))


@pytest.mark.parametrize('message', MESSAGES)
def test_message_survives_the_wire(message):
    """What is read is what was sent."""
    assert read(encode_message(message, ADDRESS)) == message


@pytest.mark.parametrize('message', MESSAGES)
def test_damaged_message_is_a_typed_error(message):
    """A peer of another version, or a broken one, sends other bytes.

    They are refused as a frame error, or read as some message; nothing else
    may be raised, or the link's handler would end.
    """
    body = encode_message(message, ADDRESS)
    damaged = [body[:size] for size, _ in enumerate(body)]
    for place, change in itertools.product(range(len(body)), (1, 0x80, 0xFF)):
        other = bytearray(body)
        other[place] ^= change
        damaged.append(bytes(other))
    refused = 0
    for one in damaged:
        try:
            read(one)
        except FrameError:
            refused += 1
    assert refused


def test_entries_with_a_gap_are_refused():
    """A message lacks an entry in the middle."""
    gap = replace(MESSAGES[2], entries=ENTRIES[1:])
    with pytest.raises(FrameError):
        read(encode_message(gap))
