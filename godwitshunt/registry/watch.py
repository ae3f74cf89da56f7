"""The entry side: polls every control VM and keeps one joined view."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from result import Err

from godwitshunt.configuration.background import Background
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.records import EntryRecord, Load
from godwitshunt.registry.views import ControlTable, JoinedTables, RegistryView
from godwitshunt.registry.wire import entry_to_wire, loads_to_wire
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

# An upstream that leaves must get nothing 3 s after any control VM has
# acknowledged it, so the news has to be here well before.
POLL_PERIOD_S = 0.35
POLL_TIMEOUT_S = 0.8
# A view is joined anew at most so often; its parts change with every reply.
VIEW_KEPT_S = 0.1


@dataclass(frozen=True)
class OwnState:
    """What this VM tells with each poll."""

    record: EntryRecord
    loads: Mapping[str, Load]


class RegistryWatch:
    """Polls control VMs and tells what upstreams and entry VMs there are.

    Parameters
    ----------
    regions : mapping
        Region of each failure domain.
    control : callable
        Returns the peer addresses of the control VMs that are known.
    own : callable
        Returns what this VM tells of itself.
    links : PeerLinks
        To the control VMs.
    timer : Timer
        Monotonic time and the period.
    metrics : Metrics
        Counts polls.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        control: Callable[[], tuple[Address, ...]],
        own: Callable[[], OwnState],
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.control = control
        self.own = own
        self.links = links
        self.timer = timer
        self.metrics = metrics
        self.joined = JoinedTables(regions)
        self.background = Background()
        self.subscription: Subscription | None = None
        self.cached = RegistryView()
        self.cached_s = float('-inf')
        self.lost: set[str] = set()

    def start(self) -> None:
        """Begin to poll."""
        self.subscription = self.timer.every(POLL_PERIOD_S, self.poll_all)
        self.poll_all()

    async def close(self) -> None:
        """Poll no more."""
        if self.subscription is not None:
            self.subscription.cancel()
        await self.background.close()

    def view(self) -> RegistryView:
        """Return what the control VMs tell, at most 0.1 s old."""
        now_s = self.timer.now()
        if now_s - self.cached_s > VIEW_KEPT_S:
            self.refresh(now_s)
        return self.cached

    def refresh(self, now_s: float) -> None:
        """Join the tables anew."""
        self.cached = self.joined.view(now_s)
        self.cached_s = now_s

    def leave(self, instance: str) -> None:
        """Note that an incarnation is no longer at its address."""
        now_s = self.timer.now()
        self.joined.leave(instance, now_s)
        self.refresh(now_s)
        log_change('registry:instance_replaced', instance=instance)

    def poll_all(self) -> None:
        """Ask every control VM that is not being asked."""
        for address in self.control():
            self.background.run(str(address), partial(self.poll, address))

    async def poll(self, address: Address) -> None:
        """Ask one control VM for what is new."""
        control = str(address)
        table = self.joined.tables.get(control, ControlTable())
        own = self.own()
        sent_s = self.timer.now()
        reply = await self.links.call(
            address,
            MessageKind.registry_poll,
            encode(
                ttypes.Poll(
                    entry=entry_to_wire(own.record),
                    source=table.source,
                    version=table.version,
                    entries_version=table.entries_version,
                    loads=loads_to_wire(own.loads.items()),
                ),
            ),
            POLL_TIMEOUT_S,
        )
        if isinstance(reply, Err):
            self.note_lost(control, type(reply.err_value).__name__)
            return
        self.note_back(control)
        now_s = self.timer.now()
        message = decode(ttypes.PollReply, reply.ok_value)
        gone = self.joined.take(control, message, sent_s, now_s)
        if gone or message.upstreams or message.gone_entries:
            self.refresh(now_s)
            self.log_news(control, message, gone)

    def log_news(
        self,
        control: str,
        message: ttypes.PollReply,
        gone: frozenset[str],
    ) -> None:
        """Log what a reply changed in what this VM believes."""
        log_change(
            'registry:news',
            control=control,
            version=message.version,
            draining=[
                one.instance for one in message.upstreams if one.draining
            ],
            cold=[one.instance for one in message.upstreams if one.cold_ms],
            silent=[one.instance for one in message.upstreams if one.silent],
            told=len(message.upstreams),
            gone=sorted(gone),
            gone_entries=list(message.gone_entries),
        )

    def note_lost(self, control: str, reason: str) -> None:
        """Count a poll without answer; log the first of several."""
        self.metrics.count('registry_polls_failed_total')
        if control not in self.lost:
            self.lost.add(control)
            log_change('registry:control_lost', control=control, reason=reason)

    def note_back(self, control: str) -> None:
        """Log that a control VM answers again."""
        if control in self.lost:
            self.lost.discard(control)
            log_change('registry:control_back', control=control)
