"""State machine that applies the log and returns outcomes to proposers."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from godwitshunt.configuration.commands import Command, Outcome
from godwitshunt.configuration.replicated_log import ReplicatedLog
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.transitions import apply_command
from godwitshunt.configuration.wire import (
    decode_command,
    encode_command,
    pack_state,
    unpack_state,
)
from godwitshunt.consensus import CommitUnknown, ProposalFailure
from godwitshunt.exceptions import StorageError
from godwitshunt.telemetry import log_change

StateCallback = Callable[[ControlState], None]
APPLY_TIMEOUT_S = 5.0


class StateMachine:
    """Control state of this replica, updated by each committed entry.

    Parameters
    ----------
    log : ReplicatedLog
        Where commands are committed.
    """

    def __init__(self, log: ReplicatedLog) -> None:
        self.log = log
        self.state = ControlState()
        self.pending: dict[str, asyncio.Future[Outcome]] = {}
        self.subscribers: list[StateCallback] = []

    def start(self) -> None:
        """Subscribe to the log."""
        self.log.subscribe(
            self.apply, self.take_snapshot, self.install_snapshot
        )

    def subscribe(self, callback: StateCallback) -> None:
        """Call back with the state after each committed entry or snapshot."""
        self.subscribers.append(callback)

    def apply(self, index: int, term: int, payload: bytes) -> None:
        """Apply a committed entry and resolve the pending proposal, if any."""
        proposal, command = decode_command(payload)
        state, outcome = apply_command(self.state, command)
        self.state = state
        pending = self.pending.get(proposal)
        if pending is not None and not pending.done():
            pending.set_result(outcome)
        self.notify_subscribers()

    def take_snapshot(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return pack_state(self.state)

    def install_snapshot(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises
        ------
        StorageError
            If the snapshot cannot be read; continuing without it would give
            wrong answers.
        """
        match unpack_state(snapshot):
            case Err(fault):
                raise StorageError('snapshot', repr(fault))
            case Ok(state):
                self.state = state
        self.notify_subscribers()

    def notify_subscribers(self) -> None:
        """Pass the state to all subscribers, even if one of them fails."""
        for callback in self.subscribers:
            try:
                callback(self.state)
            except Exception as fault:
                log_change('configuration:notice_failed', fault=repr(fault))

    async def propose(
        self,
        command: Command,
    ) -> Result[Outcome, ProposalFailure]:
        """Commit a command and return its outcome.

        The outcome is that of this entry, even if other entries were
        committed before it. A command that cannot be applied raises here,
        before it is proposed; as a log entry it would crash every replica.
        """
        proposal, payload = encode_command(command)
        apply_command(self.state, decode_command(payload)[1])
        pending: asyncio.Future[Outcome] = asyncio.Future()
        self.pending[proposal] = pending
        try:
            committed = await self.log.propose(payload)
            if isinstance(committed, Err):
                return Err(committed.err_value)
            return Ok(await asyncio.wait_for(pending, APPLY_TIMEOUT_S))
        except TimeoutError:
            return Err(CommitUnknown('committed, not applied in time'))
        finally:
            self.pending.pop(proposal)
