"""Bounded queue of prefix cache changes that are pending for gossip."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Limits for each upstream. Excess changes are dropped, since cached prefixes
# only adjust the choice of an upstream.
PREFIXES_PER_MESSAGE = 32
MAX_PENDING_PREFIXES = 256


@dataclass
class PendingPrefixes:
    """Prefix cache changes of one upstream that are not sent yet."""

    added: list[int] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)

    def extend(self, added: Iterable[int], dropped: Iterable[int]) -> None:
        """Queue changes; drop the oldest ones above the limit."""
        self.added.extend(added)
        self.dropped.extend(dropped)
        self.added = self.added[-MAX_PENDING_PREFIXES:]
        self.dropped = self.dropped[-MAX_PENDING_PREFIXES:]

    def next_changes(self) -> tuple[list[int], list[int]]:
        """Remove and return the next changes to send, up to the limit."""
        limit = PREFIXES_PER_MESSAGE
        changes = (self.added[:limit], self.dropped[:limit])
        self.added = self.added[limit:]
        self.dropped = self.dropped[limit:]
        return changes

    def is_empty(self) -> bool:
        """Return whether no changes are pending."""
        return not (self.added or self.dropped)
