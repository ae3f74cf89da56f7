"""Control VMs that a replica has learned of while it asks to be let in."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitshunt.settings import Address

# A joiner asks all of its contacts each round, also those that are gone.
LIFETIME_S = 30.0
MAX_CONTACTS = 64


@dataclass
class Contacts:
    """Peer addresses with the times at which they were named and answered.

    What one reply names is never taken back by another one: a VM that knows
    nobody says nothing about who leads. Contacts expire instead.
    """

    named_s: dict[Address, float] = field(default_factory=dict)
    answered_s: dict[Address, float] = field(default_factory=dict)

    def note_named(self, addresses: Iterable[Address], now_s: float) -> None:
        """Note what a reply names; the oldest contacts go where too many."""
        for address in addresses:
            self.named_s.pop(address, None)
            self.named_s[address] = now_s
        while len(self.named_s) > MAX_CONTACTS:
            self.named_s.pop(next(iter(self.named_s)))

    def note_answer(self, address: Address, now_s: float) -> None:
        """Note that a VM has answered at an address."""
        self.answered_s[address] = now_s

    def named(self, now_s: float) -> tuple[Address, ...]:
        """Return the addresses that were named lately, the newest first."""
        self.named_s = newer_than(self.named_s, now_s - LIFETIME_S)
        return tuple(reversed(self.named_s))

    def answering(self, now_s: float) -> tuple[Address, ...]:
        """Return the addresses that have answered this replica lately.

        Only these are passed on: replicas that named to each other what they
        were told would never forget a VM that is gone.
        """
        self.answered_s = newer_than(self.answered_s, now_s - LIFETIME_S)
        return tuple(self.answered_s)


def newer_than(
    times_s: dict[Address, float],
    limit_s: float,
) -> dict[Address, float]:
    """Return the entries from a time on."""
    return {
        address: noted_s
        for address, noted_s in times_s.items()
        if noted_s >= limit_s
    }
