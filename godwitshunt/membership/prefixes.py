"""Changes of prefix caches that wait to be passed on, bounded."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Prefix changes of one upstream in one message, and those that may wait: what
# goes beyond is dropped, since prefixes only adjust a choice.
PREFIXES_PER_MESSAGE = 32
MAX_PENDING_PREFIXES = 256


@dataclass
class PendingPrefixes:
    """Prefix changes of one upstream that wait to be sent."""

    added: list[int] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)

    def extend(self, added: Iterable[int], dropped: Iterable[int]) -> None:
        """Queue changes; the oldest give way."""
        self.added.extend(added)
        self.dropped.extend(dropped)
        self.added = self.added[-MAX_PENDING_PREFIXES:]
        self.dropped = self.dropped[-MAX_PENDING_PREFIXES:]

    def take(self) -> tuple[list[int], list[int]]:
        """Return the next changes to send and keep the rest."""
        limit = PREFIXES_PER_MESSAGE
        taken = (self.added[:limit], self.dropped[:limit])
        self.added = self.added[limit:]
        self.dropped = self.dropped[limit:]
        return taken

    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        return not (self.added or self.dropped)
