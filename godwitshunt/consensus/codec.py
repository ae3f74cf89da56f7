"""Replica messages and memberships as thrift structs."""

from godwitshunt.consensus import messages as own
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.members import Member, Membership, ReplicaId
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode, encode
from godwitshunt.settings import Address


def encode_membership(membership: Membership) -> bytes:
    """Return a membership as the payload of an entry."""
    return encode(membership_record(membership))


def decode_membership(payload: bytes) -> Membership:
    """Read the payload of a membership entry."""
    return read_membership(decode(wire.MembershipRecord, payload))


def membership_record(membership: Membership) -> wire.MembershipRecord:
    """Return the wire form of a membership."""
    return wire.MembershipRecord(
        members=[
            wire.MemberRecord(
                replica=replica_name(one.replica),
                host=one.address.host,
                port=one.address.port,
                voter=one.voter,
            )
            for one in membership.members
        ],
    )


def read_membership(record: wire.MembershipRecord) -> Membership:
    """Read the wire form of a membership."""
    return Membership(
        tuple(
            Member(
                replica=read_replica(one.replica),
                address=Address(host=one.host, port=one.port),
                voter=bool(one.voter),
            )
            for one in record.members or ()
        ),
    )


def replica_name(replica: ReplicaId) -> wire.ReplicaName:
    """Return the wire form of a replica's identity."""
    return wire.ReplicaName(replica.name, replica.incarnation)


def read_replica(name: wire.ReplicaName) -> ReplicaId:
    """Read the wire form of a replica's identity."""
    return ReplicaId(name.name, name.incarnation)


def encode_message(
    message: own.Message,
    reply_to: Address | None = None,
) -> bytes:
    """Return the wire form of a message.

    Parameters
    ----------
    message : Message
        What to send.
    reply_to : Address, optional
        Where the receiver can answer, if it may not know.
    """
    header = message.header
    envelope = wire.ReplicaMessage(
        term=header.term,
        sender=replica_name(header.sender),
        receiver=replica_name(header.receiver),
    )
    if reply_to is not None:
        envelope.reply_host = reply_to.host
        envelope.reply_port = reply_to.port
    match message:
        case own.AppendRequest():
            envelope.append_request = append_request_body(message)
        case own.AppendReply():
            envelope.append_reply = wire.AppendReplyBody(
                message.success,
                message.index,
                message.sent_s,
            )
        case own.VoteRequest():
            envelope.vote_request = wire.VoteRequestBody(
                message.last_index,
                message.last_term,
                message.pre_vote,
            )
        case own.VoteReply():
            envelope.vote_reply = wire.VoteReplyBody(
                message.granted,
                message.pre_vote,
            )
        case own.SnapshotChunk():
            envelope.snapshot_chunk = snapshot_chunk_body(message)
        case own.SnapshotReply():
            envelope.snapshot_reply = wire.SnapshotReplyBody(
                message.index,
                message.offset,
                message.sent_s,
            )
    return encode(envelope)


def append_request_body(message: own.AppendRequest) -> wire.AppendRequestBody:
    """Return the wire form of an append request."""
    return wire.AppendRequestBody(
        prev_index=message.prev_index,
        prev_term=message.prev_term,
        entries=[entry_record(one) for one in message.entries],
        commit_index=message.commit_index,
        sent_s=message.sent_s,
        acknowledged_s=message.acknowledged_s,
        quorum_age_s=message.quorum_age_s,
    )


def snapshot_chunk_body(message: own.SnapshotChunk) -> wire.SnapshotChunkBody:
    """Return the wire form of a part of a snapshot."""
    return wire.SnapshotChunkBody(
        index=message.index,
        index_term=message.index_term,
        membership=membership_record(message.membership),
        offset=message.offset,
        total=message.total,
        chunk=message.chunk,
        sent_s=message.sent_s,
    )


def decode_message(envelope: wire.ReplicaMessage) -> own.Message:
    """Read a message.

    Raises
    ------
    FrameError
        Where no body, or one without its fields, is set.
    """
    try:
        header = own.Header(
            term=int(envelope.term),
            sender=read_replica(envelope.sender),
            receiver=read_replica(envelope.receiver),
        )
        return read_body(header, envelope)
    # A struct from the wire may lack any field; the attribute is then None.
    except (AttributeError, TypeError, ValueError) as bad:
        raise FrameError(f'replica message: {bad!r}') from None


def read_body(header: own.Header, envelope: wire.ReplicaMessage) -> own.Message:
    """Read the one body that is set."""
    if envelope.append_request is not None:
        return read_append_request(header, envelope.append_request)
    if envelope.append_reply is not None:
        reply = envelope.append_reply
        return own.AppendReply(
            header,
            bool(reply.success),
            int(reply.index),
            float(reply.sent_s),
        )
    if envelope.vote_request is not None:
        request = envelope.vote_request
        return own.VoteRequest(
            header,
            int(request.last_index),
            int(request.last_term),
            bool(request.pre_vote),
        )
    if envelope.vote_reply is not None:
        vote = envelope.vote_reply
        return own.VoteReply(header, bool(vote.granted), bool(vote.pre_vote))
    return read_snapshot_body(header, envelope)


def read_snapshot_body(
    header: own.Header,
    envelope: wire.ReplicaMessage,
) -> own.Message:
    """Read a body that is about a snapshot."""
    if envelope.snapshot_chunk is None:
        reply = envelope.snapshot_reply
        return own.SnapshotReply(
            header,
            int(reply.index),
            int(reply.offset),
            float(reply.sent_s),
        )
    chunk = envelope.snapshot_chunk
    return own.SnapshotChunk(
        header,
        index=int(chunk.index),
        index_term=int(chunk.index_term),
        membership=read_membership(chunk.membership),
        offset=int(chunk.offset),
        total=int(chunk.total),
        chunk=chunk.chunk or b'',
        sent_s=float(chunk.sent_s),
    )


def read_append_request(
    header: own.Header,
    body: wire.AppendRequestBody,
) -> own.AppendRequest:
    """Read an append request."""
    entries = tuple(map(read_entry, body.entries or ()))
    indexes = [entry.index for entry in entries]
    first = int(body.prev_index) + 1
    # A gap in the log would surface only later, as another entry's place.
    if first < 1 or indexes != list(range(first, first + len(entries))):
        raise FrameError(f'entries {indexes} after {first - 1}')
    return own.AppendRequest(
        header,
        prev_index=int(body.prev_index),
        prev_term=int(body.prev_term),
        entries=entries,
        commit_index=int(body.commit_index),
        sent_s=float(body.sent_s),
        acknowledged_s=float(body.acknowledged_s),
        quorum_age_s=float(body.quorum_age_s),
    )


def entry_record(entry: own.Entry) -> wire.LogEntry:
    """Return the wire form of an entry."""
    return wire.LogEntry(entry.index, entry.term, entry.kind, entry.payload)


def read_entry(record: wire.LogEntry) -> own.Entry:
    """Read the wire form of an entry."""
    return own.Entry(
        index=int(record.index),
        term=int(record.term),
        kind=own.EntryKind(record.kind),
        payload=record.payload or b'',
    )


def read_reply_address(envelope: wire.ReplicaMessage) -> Address | None:
    """Return where a message asks to be answered, None where it does not."""
    if envelope.reply_host is None or envelope.reply_port is None:
        return None
    try:
        return Address(host=envelope.reply_host, port=envelope.reply_port)
    except ValueError as bad:
        raise FrameError(f'reply address: {bad!r}') from None
