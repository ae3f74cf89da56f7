"""Periodic check of whether a control replica has every commit."""

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.document import vm_from_entry
from godwitshunt.configuration.freshness import Freshness
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.history import UNKNOWN_AGE_S
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.configuration.update_wire import decode_update
from godwitshunt.peer import MessageKind, PeerLinks, encode
from godwitshunt.timer import Subscription, Timer

PROOF_PERIOD_S = 0.25
PROOF_TIMEOUT_S = 1.0


class FreshnessTask:
    """Queries the log on the leader, or the leader on a follower.

    Parameters
    ----------
    machine : StateMachine
        State machine with the applied state and the log.
    links : PeerLinks
        Links to the other control replicas.
    timer : Timer
        Schedules the checks.
    """

    def __init__(
        self,
        machine: StateMachine,
        links: PeerLinks,
        timer: Timer,
    ) -> None:
        self.machine = machine
        self.links = links
        self.timer = timer
        self.freshness = Freshness()
        self.background = BackgroundTasks()
        self.subscription: Subscription | None = None

    def start(self) -> None:
        """Start the periodic check and answer other replicas."""
        self.machine.subscribe(self.on_state)
        self.links.subscribe(MessageKind.configuration_fetch, self.on_fetch)
        self.subscription = self.timer.every(PROOF_PERIOD_S, self.start_proof)

    async def close(self) -> None:
        """Stop the periodic check."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    def on_state(self, state: ControlState) -> None:
        """Count the proofs that were pending for this state."""
        self.freshness = self.freshness.catch_up(state.revision)

    def quorum_age_s(self) -> float:
        """Return the seconds since this state last included every commit.

        Infinite if that was never known.
        """
        return self.timer.now() - self.freshness.current_at

    def start_proof(self) -> None:
        """Start a check of whether this replica has every commit."""
        self.background.run('proof', self.prove)

    async def prove(self) -> None:
        """Query the newest committed revision and record the proof."""
        requested_at = self.timer.now()
        leadership = self.machine.log.leadership()
        if leadership.is_leader:
            newest = await self.read_newest_revision()
        else:
            newest = await self.query_leader(leadership.name)
        if newest is not None:
            applied = self.machine.state.revision
            self.freshness = self.freshness.record_proof(
                newest, requested_at, applied
            )

    async def read_newest_revision(self) -> int | None:
        """Return the revision after a read barrier; None if it fails."""
        if isinstance(await self.machine.log.read_barrier(), Err):
            return None
        return self.machine.state.revision

    async def query_leader(self, name: str | None) -> int | None:
        """Return the leader's revision, None if it did not confirm it."""
        leader = self.machine.state.document.section('vms').get(name or '')
        if leader is None:
            return None
        reply = await self.links.call(
            vm_from_entry(leader).peer,
            MessageKind.configuration_fetch,
            b'',
            PROOF_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            return None
        update = decode_update(reply.ok_value)
        return update.revision if update.quorum_age_s == 0 else None

    async def on_fetch(self, sender: str, body: bytes) -> bytes:
        """Answer another control replica with the newest revision."""
        newest = None
        if self.machine.log.leadership().is_leader:
            newest = await self.read_newest_revision()
        age_s = UNKNOWN_AGE_S if newest is None else 0
        update = ttypes.ConfigurationNews(
            newest or 0, '', '', b'', age_s, False
        )
        return encode(update)
