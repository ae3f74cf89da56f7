"""The state machine that committed payloads go to."""

from collections.abc import Callable
from dataclasses import dataclass

ApplyCallback = Callable[[int, int, bytes], None]
TakeCallback = Callable[[], bytes]
InstallCallback = Callable[[bytes], None]


def ignore_payload(index: int, term: int, payload: bytes) -> None:
    """Do nothing with a payload, where nobody has subscribed."""


@dataclass
class StateMachine:
    """The callbacks of the program that embeds a replica.

    Parameters
    ----------
    apply : callable
        Gets index, term and payload of each committed entry, in order.
    take_snapshot : callable or None
        Returns the state as bytes; None where no snapshots are taken.
    install_snapshot : callable or None
        Replaces the state by such bytes.
    """

    apply: ApplyCallback = ignore_payload
    take_snapshot: TakeCallback | None = None
    install_snapshot: InstallCallback | None = None

    def install(self, state: bytes) -> None:
        """Replace the state, where the program can."""
        if self.install_snapshot is not None:
            self.install_snapshot(state)
