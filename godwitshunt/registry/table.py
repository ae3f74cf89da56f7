"""The table of upstreams that a control VM has heard of; pure.

Each change gets the next version, so that an entry VM asks for what is newer
than the version it holds. Times are seconds on this VM's monotonic clock.
"""

from dataclasses import dataclass, field, replace

from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.settings import Address

# Announcements come every 1.2 s and some are seconds late; an upstream that
# crashed sends nothing. Three lost in a row make it silent, which alone takes
# no work from it as long as its answers come.
SILENT_AFTER_S = 4.5
# A silent upstream that nothing was heard of for so long is forgotten.
FORGOTTEN_AFTER_S = 60.0
# Late announcements of an incarnation that left are known for so long.
TOMBSTONE_S = 120.0
# A new incarnation at an address replaces one that missed two announcements.
REPLACED_AFTER_S = 2.5
# Remaining cold time falls by itself; only a rise beyond this is news.
COLD_MARGIN_S = 0.5


@dataclass(frozen=True)
class Taken:
    """The announcement is the newest of its incarnation."""


@dataclass(frozen=True)
class Stale:
    """The incarnation has left, or has announced something newer."""


AnnounceOutcome = Taken | Stale


@dataclass
class UpstreamEntry:
    """One incarnation in the table."""

    told: UpstreamAnnounced
    heard_s: float
    cold_until_s: float
    version: int
    silent: bool = False


@dataclass
class UpstreamTable:
    """Every incarnation that announced itself here and has not left.

    Examples
    --------
    >>> address = Address(host='10.0.0.1', port=80)
    >>> one = UpstreamAnnounced('i-1', 'chat', address, 'a', 8, False, 0, 1)
    >>> table = UpstreamTable()
    >>> table.announce(one, now_s=0)
    Taken()
    >>> table.announce(one, now_s=1)
    Stale()
    """

    entries: dict[str, UpstreamEntry] = field(default_factory=dict)
    gone: dict[str, tuple[int, float]] = field(default_factory=dict)
    version: int = 0

    def announce(
        self,
        told: UpstreamAnnounced,
        now_s: float,
    ) -> AnnounceOutcome:
        """Take an announcement; a late one of the past changes nothing."""
        if told.instance in self.gone:
            return Stale()
        known = self.entries.get(told.instance)
        if known is None:
            self.replace_silent(told.address, now_s)
            self.entries[told.instance] = UpstreamEntry(
                told,
                now_s,
                now_s + told.cold_s,
                self.next_version(),
            )
            return Taken()
        if told.sequence <= known.told.sequence:
            return Stale()
        self.update(known, told, now_s)
        return Taken()

    def update(
        self,
        known: UpstreamEntry,
        told: UpstreamAnnounced,
        now_s: float,
    ) -> None:
        """Take a newer announcement; a version only where it says more."""
        before = replace(known.told, sequence=0, cold_s=0)
        after = replace(told, sequence=0, cold_s=0)
        # An incarnation that began to drain never goes back.
        after = replace(after, draining=after.draining or before.draining)
        cold_until_s = now_s + told.cold_s
        warms_later = cold_until_s > known.cold_until_s + COLD_MARGIN_S
        is_news = before != after or known.silent
        if is_news or (told.cold_s > 0 and warms_later):
            known.version = self.next_version()
        known.told = replace(told, draining=after.draining)
        known.heard_s = now_s
        known.cold_until_s = cold_until_s
        known.silent = False

    def replace_silent(self, address: Address, now_s: float) -> None:
        """Drop incarnations that another one has followed at an address."""
        for instance, known in tuple(self.entries.items()):
            silent_s = now_s - known.heard_s
            if known.told.address == address and silent_s > REPLACED_AFTER_S:
                self.withdraw(instance, now_s)

    def withdraw(self, instance: str, now_s: float) -> None:
        """Let an incarnation be gone for good."""
        self.entries.pop(instance, None)
        if instance not in self.gone:
            self.gone[instance] = (self.next_version(), now_s)

    def tick(self, now_s: float) -> None:
        """Note who has fallen silent; forget what is long past."""
        for instance, known in tuple(self.entries.items()):
            silent_s = now_s - known.heard_s
            if silent_s > FORGOTTEN_AFTER_S:
                self.withdraw(instance, now_s)
            elif silent_s > SILENT_AFTER_S and not known.silent:
                known.silent = True
                known.version = self.next_version()
        for instance, (_, gone_s) in tuple(self.gone.items()):
            if now_s - gone_s > TOMBSTONE_S:
                self.gone.pop(instance)

    def changed_since(self, version: int) -> tuple[UpstreamEntry, ...]:
        """Return the incarnations with news after a version."""
        return tuple(
            known for known in self.entries.values() if known.version > version
        )

    def gone_since(self, version: int) -> tuple[str, ...]:
        """Return the incarnations that left after a version."""
        return tuple(
            instance
            for instance, (left_at, _) in self.gone.items()
            if left_at > version
        )

    def next_version(self) -> int:
        """Return the version of the next change."""
        self.version += 1
        return self.version
