"""Table of the prompt prefixes that upstreams hold in their caches.

An engine that has processed the shared parts of a prompt keeps them cached for
a while; processing them again on another engine delays every request there.
Entry VMs report what their requests show to control VMs and receive what other
entry VMs have reported. No I/O; times are seconds on this VM's monotonic
clock.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

# Engines evict the least recently used prefixes when their memory is full. In
# the expected workload an engine holds 20 to 27 prompts of 13,300 tokens, each
# requested every 8 to 16 s. If an entry here is too old, the request costs the
# same prefill on that upstream as it would on the prefix's owner.
PREFIX_TTL_S = 40.0
# Pairs of prefix and upstream to remember; the oldest are dropped. The largest
# expected deployment sends 49 long prompts a second.
MAX_PREFIXES = 4096


@dataclass(frozen=True)
class CachedPrefix:
    """A prompt prefix that an upstream has processed.

    Parameters
    ----------
    key : int
        Identifies the shared parts; the same on all VMs.
    instance : str
        Incarnation that processed them.
    cached_s : float
        When it last did.
    """

    key: int
    instance: str
    cached_s: float


@dataclass(frozen=True)
class VersionedPrefix:
    """A cached prefix and the table version that recorded it."""

    prefix: CachedPrefix
    version: int


@dataclass
class PrefixTable:
    """The last use of each prefix on each upstream, newest last.

    Examples
    --------
    >>> table = PrefixTable()
    >>> table.record(CachedPrefix(7, 'i-1', cached_s=1.0))
    >>> table.record(CachedPrefix(7, 'i-2', cached_s=2.0))
    >>> sorted(table.holders(7, now_s=3.0)), table.holders(8, now_s=3.0)
    (['i-1', 'i-2'], frozenset())
    >>> [prefix.instance for prefix in table.since(1)]
    ['i-2']
    """

    prefixes: OrderedDict[tuple[int, str], VersionedPrefix] = field(
        default_factory=OrderedDict,
    )
    by_key: dict[int, dict[str, float]] = field(default_factory=dict)
    version: int = 0

    def record(self, prefix: CachedPrefix) -> None:
        """Record a cached prefix, unless a newer use of it is known."""
        known = self.by_key.setdefault(prefix.key, {})
        if prefix.cached_s <= known.get(prefix.instance, float('-inf')):
            return
        known[prefix.instance] = prefix.cached_s
        self.version += 1
        pair = (prefix.key, prefix.instance)
        self.prefixes[pair] = VersionedPrefix(prefix, self.version)
        self.prefixes.move_to_end(pair)
        while len(self.prefixes) > MAX_PREFIXES:
            self.remove(next(iter(self.prefixes)))

    def record_all(self, prefixes: Iterable[CachedPrefix]) -> None:
        """Record several cached prefixes."""
        for prefix in prefixes:
            self.record(prefix)

    def holders(self, key: int | None, now_s: float) -> frozenset[str]:
        """Return the incarnations that are assumed to have a prefix cached."""
        if key is None:
            return frozenset()
        since_s = now_s - PREFIX_TTL_S
        return frozenset(
            instance
            for instance, cached_s in self.by_key.get(key, {}).items()
            if cached_s > since_s
        )

    def since(self, version: int) -> tuple[CachedPrefix, ...]:
        """Return the prefixes recorded after a version, the oldest first."""
        newer = takewhile(
            lambda versioned: versioned.version > version,
            reversed(self.prefixes.values()),
        )
        return tuple(reversed([versioned.prefix for versioned in newer]))

    def expire(self, now_s: float) -> None:
        """Remove the prefixes that are older than `PREFIX_TTL_S`."""
        since_s = now_s - PREFIX_TTL_S
        expired = [
            pair
            for pair, versioned in self.prefixes.items()
            if versioned.prefix.cached_s <= since_s
        ]
        for pair in expired:
            self.remove(pair)

    def remove(self, pair: tuple[int, str]) -> None:
        """Remove one prefix of one upstream."""
        key, instance = pair
        self.prefixes.pop(pair)
        holders = self.by_key[key]
        holders.pop(instance)
        if not holders:
            self.by_key.pop(key)
