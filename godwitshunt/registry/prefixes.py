"""Which upstreams keep which shared prompt parts; pure.

An engine that has read a prompt's shared parts keeps them for a while, and
reading them again elsewhere takes time from every request there. Entry VMs
tell control VMs what their requests have shown, and hear of one another's.
Times are seconds on this VM's monotonic clock.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

# Engines drop the parts that were used longest ago when their memory is
# full. The users' engines hold 20 to 27 prompts of 13,300 tokens, and each is
# asked for every 8 to 16 s. A belief that is too old costs what reading at the
# owner would cost.
PREFIX_KEPT_S = 40.0
# Pairs of prefix and upstream that are remembered; the oldest yield. At the
# largest deployment that was played, 49 long prompts a second come.
MAX_PREFIXES = 4096


@dataclass(frozen=True)
class CachedPrefix:
    """A prompt's shared parts that an upstream has read.

    Parameters
    ----------
    key : int
        Names the parts; the same on all VMs.
    instance : str
        The incarnation that read them.
    read_s : float
        When it did last.
    """

    key: int
    instance: str
    read_s: float


@dataclass(frozen=True)
class VersionedRead:
    """A read, and the version of the table that it made."""

    read: CachedPrefix
    version: int


@dataclass
class PrefixTable:
    """The last read of each prefix by each upstream, the newest at the end.

    Examples
    --------
    >>> table = PrefixTable()
    >>> table.record(CachedPrefix(7, 'i-1', read_s=1.0))
    >>> table.record(CachedPrefix(7, 'i-2', read_s=2.0))
    >>> sorted(table.holders(7, now_s=3.0)), table.holders(8, now_s=3.0)
    (['i-1', 'i-2'], frozenset())
    >>> [read.instance for read in table.since(1)]
    ['i-2']
    """

    reads: OrderedDict[tuple[int, str], VersionedRead] = field(
        default_factory=OrderedDict,
    )
    by_key: dict[int, dict[str, float]] = field(default_factory=dict)
    version: int = 0

    def record(self, read: CachedPrefix) -> None:
        """Take a read; an older one than is known changes nothing."""
        known = self.by_key.setdefault(read.key, {})
        if read.read_s <= known.get(read.instance, float('-inf')):
            return
        known[read.instance] = read.read_s
        self.version += 1
        place = (read.key, read.instance)
        self.reads[place] = VersionedRead(read, self.version)
        self.reads.move_to_end(place)
        while len(self.reads) > MAX_PREFIXES:
            self.drop(next(iter(self.reads)))

    def take(self, reads: Iterable[CachedPrefix]) -> None:
        """Take several reads."""
        for read in reads:
            self.record(read)

    def holders(self, key: int | None, now_s: float) -> frozenset[str]:
        """Return the incarnations that read a prefix of late."""
        if key is None:
            return frozenset()
        since_s = now_s - PREFIX_KEPT_S
        return frozenset(
            instance
            for instance, read_s in self.by_key.get(key, {}).items()
            if read_s > since_s
        )

    def since(self, version: int) -> tuple[CachedPrefix, ...]:
        """Return the reads after a version, the oldest first."""
        newer = takewhile(
            lambda one: one.version > version,
            reversed(self.reads.values()),
        )
        return tuple(reversed([one.read for one in newer]))

    def forget(self, now_s: float) -> None:
        """Drop what was read too long ago to be kept still."""
        since_s = now_s - PREFIX_KEPT_S
        old = [
            place
            for place, one in self.reads.items()
            if one.read.read_s <= since_s
        ]
        for place in old:
            self.drop(place)

    def drop(self, place: tuple[int, str]) -> None:
        """Drop one prefix of one upstream."""
        key, instance = place
        self.reads.pop(place)
        holders = self.by_key[key]
        holders.pop(instance)
        if not holders:
            self.by_key.pop(key)
