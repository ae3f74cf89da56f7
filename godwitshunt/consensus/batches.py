"""Events that are taken, and actions that are carried out, together."""

from dataclasses import dataclass

from godwitshunt.consensus.events import (
    Action,
    Event,
    Proposed,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
)

SAVES = (SaveVote, SaveEntries, SaveSnapshot)


@dataclass(frozen=True)
class Batch:
    """Actions in the order in which they must be carried out.

    Parameters
    ----------
    early : tuple of Action
        Those before the first save; they need not wait for it.
    saves : tuple of Save
        All saves, to be put on disk with one sync.
    late : tuple of Action
        Those that wait until the saves are on disk. A vote or a reply that
        left earlier would promise what a loss of power takes back.
    """

    early: tuple[Action, ...]
    saves: tuple[Save, ...]
    late: tuple[Action, ...]


def arrange(actions: list[Action]) -> Batch:
    """Arrange the actions of one or several steps around one sync."""
    first_save = len(actions)
    for position, action in enumerate(actions):
        if isinstance(action, SAVES):
            first_save = position
            break
    rest = actions[first_save:]
    return Batch(
        early=tuple(actions[:first_save]),
        saves=tuple(one for one in rest if isinstance(one, SAVES)),
        late=tuple(one for one in rest if not isinstance(one, SAVES)),
    )


def merge_proposals(events: list[Event]) -> list[Event]:
    """Join neighbouring proposals, so that they share entries and a sync."""
    merged: list[Event] = []
    for event in events:
        last = merged[-1] if merged else None
        if isinstance(event, Proposed) and isinstance(last, Proposed):
            merged[-1] = Proposed(last.payloads + event.payloads)
        else:
            merged.append(event)
    return merged
