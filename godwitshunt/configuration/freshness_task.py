"""Finds out, again and again, whether a control replica has every commit."""

from result import Err

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.configuration.document import vm_from_entry
from godwitshunt.configuration.freshness import Freshness
from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.history import UNKNOWN_AGE_S
from godwitshunt.configuration.news_wire import decode_news
from godwitshunt.configuration.state import ControlState
from godwitshunt.configuration.state_machine import StateMachine
from godwitshunt.peer import MessageKind, PeerLinks, encode
from godwitshunt.timer import Subscription, Timer

PROOF_PERIOD_S = 0.25
PROOF_TIMEOUT_S = 1.0


class FreshnessTask:
    """Asks the log where this replica leads, else its leader.

    Parameters
    ----------
    machine : StateMachine
        The applied state and the log.
    links : PeerLinks
        To the leader.
    timer : Timer
        Gives the period.
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
        """Begin to ask, and to answer other replicas."""
        self.machine.subscribe(self.on_state)
        self.links.subscribe(MessageKind.configuration_fetch, self.on_fetch)
        self.subscription = self.timer.every(PROOF_PERIOD_S, self.begin_proof)

    async def close(self) -> None:
        """Ask no more."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    def on_state(self, state: ControlState) -> None:
        """Count the proofs that waited for this state."""
        self.freshness = self.freshness.catch_up(state.revision)

    def quorum_age_s(self) -> float:
        """Return for how many seconds a commit may be missing here.

        Infinite where this replica never knew that it has every commit.
        """
        return self.timer.now() - self.freshness.current_at

    def begin_proof(self) -> None:
        """Find out whether this replica has every commit."""
        self.background.run('proof', self.prove)

    async def prove(self) -> None:
        """Ask the log where this replica leads, else the leader."""
        asked_at = self.timer.now()
        leadership = self.machine.log.leadership()
        if leadership.is_leader:
            newest = await self.newest_revision()
        else:
            newest = await self.ask_leader(leadership.name)
        if newest is not None:
            applied = self.machine.state.revision
            self.freshness = self.freshness.prove(newest, asked_at, applied)

    async def newest_revision(self) -> int | None:
        """Return the revision that includes every commit so far."""
        if isinstance(await self.machine.log.read_barrier(), Err):
            return None
        return self.machine.state.revision

    async def ask_leader(self, name: str | None) -> int | None:
        """Return the leader's revision, once it has every commit."""
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
        news = decode_news(reply.ok_value)
        return news.revision if news.quorum_age_s == 0 else None

    async def on_fetch(self, sender: str, body: bytes) -> bytes:
        """Tell another control replica which revision is the newest."""
        newest = None
        if self.machine.log.leadership().is_leader:
            newest = await self.newest_revision()
        age_s = UNKNOWN_AGE_S if newest is None else 0
        news = ttypes.ConfigurationNews(newest or 0, '', '', b'', age_s, False)
        return encode(news)
