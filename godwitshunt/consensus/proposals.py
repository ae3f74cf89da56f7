"""Proposals of payloads."""

from godwitshunt.consensus import lease, replication
from godwitshunt.consensus.events import (
    ProposalAccepted,
    ProposalRefused,
    Proposed,
)
from godwitshunt.consensus.failures import (
    EntryTooLarge,
    NoQuorum,
    NotLeader,
)
from godwitshunt.consensus.messages import EntryKind
from godwitshunt.consensus.state import ReplicaState, Role


def propose(state: ReplicaState, event: Proposed, now_s: float) -> None:
    """Append payloads as one batch, or refuse them."""
    failure = refusal(state, now_s)
    if failure is not None:
        for number, _ in event.payloads:
            state.emit(ProposalRefused(number, failure))
        return
    payloads = sendable(state, event)
    if not payloads:
        return
    entries = replication.append_own(
        state,
        tuple((EntryKind.payload, payload) for _, payload in payloads),
        now_s,
    )
    for (number, _), entry in zip(payloads, entries, strict=True):
        state.emit(ProposalAccepted(number, entry.index, entry.term))


def sendable(
    state: ReplicaState,
    event: Proposed,
) -> list[tuple[int, bytes]]:
    """Return the payloads that a message can carry; refuse the others."""
    limit_bytes = state.options.entry_bytes
    fitting = []
    for number, payload in event.payloads:
        if len(payload) <= limit_bytes:
            fitting.append((number, payload))
            continue
        failure = EntryTooLarge(len(payload), limit_bytes)
        state.emit(ProposalRefused(number, failure))
    return fitting


def refusal(
    state: ReplicaState,
    now_s: float,
) -> NotLeader | NoQuorum | None:
    """Return why nothing can be proposed here, None where it can.

    A leader without answers could only take an entry whose outcome nobody
    learns; refused before it is in the log, it is certain not to take effect.
    """
    if state.role is not Role.leader:
        leader = None if state.leader is None else state.leader.name
        return NotLeader(leader)
    if lease.silence_s(state, now_s) > state.options.lease_s:
        return NoQuorum(lease.proof_age_s(state, now_s))
    return None
