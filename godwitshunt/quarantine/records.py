"""Records of requests that were lost to crashed upstreams.

Records are joined by a union of named losses and clearances, which is
commutative, associative and idempotent. Processes that have received the same
data therefore agree, whatever the order, except for the delay of messages.
Times are seconds on this VM's monotonic clock.
"""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from math import inf

from godwitshunt.quarantine.fingerprint import Fingerprint

# Losses per record; the oldest ones are dropped.
MAX_LOSSES = 16
# VMs of other regions report one crash at slightly different times, because of
# the delay of messages and of updates between control VMs.
SAME_CRASH_WINDOW_S = 0.2
# Each message that a loss passes makes it look more recent, by the delay of the
# message and a truncated millisecond, up to this.
RELAY_DELAY_S = 0.08
# A report replaces a known time only if it is earlier by this: messages state
# ages in whole milliseconds.
MIN_EARLIER_S = 0.01
# Clearances per record, by whole answers and by operators.
MAX_CLEARANCES = 8
# A request or part that was answered whole this long before its first loss, or
# later, has been shown not to crash upstreams.
PROOF_S = 60.0


@dataclass(frozen=True)
class Loss:
    """A request that was lost to a crashed process.

    Parameters
    ----------
    incarnation : str
        Incarnation of the upstream or entry VM that crashed.
    at_s : float
        When the request was lost.
        An upper bound if the loss was received in messages.
    exposure_s : float
        Seconds for which the process had the request.
    relays : int
        Number of messages that the report has passed.
    observer : str
        The entry VM that observed the loss; the first of several by name.
    """

    incarnation: str
    at_s: float
    exposure_s: float
    relays: int = 0
    observer: str = ''

    @property
    def earliest_s(self) -> float:
        """Earliest time at which the request may have been lost."""
        return self.at_s - self.relays * RELAY_DELAY_S


@dataclass(frozen=True)
class SuspectPart:
    """A part that prompts of several requests share.

    Parameters
    ----------
    name : str
        Its service and key, for operators and logs.
    position : int
        Position in its prompts; 0 is the first. Parts at higher positions are
        shared by fewer requests.
    """

    name: str
    position: int


@dataclass
class SuspectRecord:
    """One request, or part of prompts, and the crashes that it was lost in.

    Parameters
    ----------
    organisation : str
        The organisation that sent the request; empty for none.
    body_bytes : int
        Length of its body; requests of other lengths are not compared. Zero
        for a part.
    losses : dict
        By incarnation.
    clearances : dict
        Times by unique name. Losses up to the latest of them do not count:
        the request was answered whole, or an operator released it.
    version : int
        Version of the table at the last change of the record.
    part : SuspectPart or None
        None for the content of a request.

    Examples
    --------
    >>> record = SuspectRecord(Fingerprint(bytes(16)), '', 5)
    >>> record.add_loss(Loss('i-1', at_s=1.0, exposure_s=0.1))
    True
    >>> record.add_loss(Loss('i-2', at_s=2.0, exposure_s=0.1))
    True
    >>> (
    ...     record.count_crash_times(),
    ...     record.count_crash_times(explained_incarnations={'i-1'}),
    ... )
    (2, 1)
    >>> record.add_clearance('a-1', at_s=3.0), record.count_crash_times()
    (True, 0)
    """

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    losses: dict[str, Loss] = field(default_factory=dict)
    clearances: dict[str, float] = field(default_factory=dict)
    version: int = 0
    part: SuspectPart | None = None

    @property
    def is_proven(self) -> bool:
        """True for a part that was answered shortly before its first loss."""
        return self.part is not None and self.was_answered_before

    @property
    def was_answered_before(self) -> bool:
        """True where it was answered whole shortly before its first loss."""
        if not self.clearances:
            return False
        first_s = min(
            (loss.at_s for loss in self.counted_losses()), default=inf
        )
        return self.cleared_until_s > first_s - PROOF_S

    @property
    def cleared_until_s(self) -> float:
        """Time up to which losses do not count."""
        return max(self.clearances.values(), default=-inf)

    def counted_losses(self) -> list[Loss]:
        """Return the losses after the last clearance, oldest first."""
        if len(self.losses) == 1 and not self.clearances:
            return list(self.losses.values())
        cleared_until_s = self.cleared_until_s
        return sorted(
            (
                loss
                for loss in self.losses.values()
                if loss.at_s > cleared_until_s
            ),
            key=loss_time,
        )

    def add_loss(self, loss: Loss) -> bool:
        """Add a loss; return False where nothing changes.

        Of two reports of one loss the earlier time is kept. Each process that
        relays a report makes it look more recent by the delay of the message,
        so a loss that is relayed in a loop would otherwise never expire.
        """
        recorded = self.losses.get(loss.incarnation)
        merged = loss if recorded is None else merge_losses(recorded, loss)
        if merged is recorded:
            return False
        self.losses[loss.incarnation] = merged
        if len(self.losses) <= MAX_LOSSES:
            return True
        oldest = min(self.losses.values(), key=loss_time)
        self.losses.pop(oldest.incarnation)
        return oldest is not merged

    def add_clearance(self, name: str, at_s: float) -> bool:
        """Add a time up to which losses do not count; return False if known.

        Of two reports of one clearance the earlier time is kept, as for
        losses.
        """
        if self.clearances.get(name, inf) <= at_s + MIN_EARLIER_S:
            return False
        self.clearances[name] = at_s
        if len(self.clearances) <= MAX_CLEARANCES:
            return True
        oldest = min(self.clearances, key=self.clearances.__getitem__)
        self.clearances.pop(oldest)
        return oldest != name

    def join(self, other: 'SuspectRecord') -> bool:
        """Add all that another process knows; return False if known."""
        before = self.part
        if before is not None and other.part is not None:
            self.part = min(before, other.part, key=part_position)
        changes = [self.part != before]
        changes.extend(map(self.add_loss, other.losses.values()))
        changes.extend(
            self.add_clearance(name, at_s)
            for name, at_s in other.clearances.items()
        )
        return any(changes)

    def count_crash_times(
        self, explained_incarnations: Collection[str] = ()
    ) -> int:
        """Return the number of times that are certain to be distinct.

        Processes that crash at the same time may share a cause other than the
        request, such as a failed rack.

        Parameters
        ----------
        explained_incarnations : collection of str
            Incarnations whose crashes another request explains.
        """
        count = 0
        last_counted_s = -inf
        for loss in self.counted_losses():
            gap_s = loss.earliest_s - last_counted_s
            is_new = gap_s > SAME_CRASH_WINDOW_S
            if is_new and loss.incarnation not in explained_incarnations:
                count += 1
                last_counted_s = loss.at_s
        return count

    def observers(self) -> list[str]:
        """Return the entry VMs that observed counted losses, by name."""
        names = {loss.observer for loss in self.counted_losses()}
        return sorted(names - {''})

    def last_loss_s(self) -> float:
        """Return the time of the last counted loss."""
        return max((loss.at_s for loss in self.counted_losses()), default=-inf)

    def total_exposure_s(self) -> float:
        """Return the sum of exposure over the counted losses."""
        return sum(loss.exposure_s for loss in self.counted_losses())

    def expire(self, until_s: float) -> bool:
        """Drop entries up to a time; return False where there are none."""
        losses = {
            incarnation: loss
            for incarnation, loss in self.losses.items()
            if loss.at_s > until_s
        }
        clearances = {
            name: at_s
            for name, at_s in self.clearances.items()
            if at_s > until_s
        }
        sizes = (len(self.losses), len(self.clearances))
        self.losses = losses
        self.clearances = clearances
        return sizes != (len(losses), len(clearances))

    @property
    def is_empty(self) -> bool:
        """True where there are neither losses nor clearances."""
        return not self.losses and not self.clearances


def loss_time(loss: Loss) -> float:
    """Return when a request was lost."""
    return loss.at_s


def part_position(part: SuspectPart) -> tuple[int, str]:
    """Return a sort key of the positions of one part in several prompts."""
    return (part.position, part.name)


def merge_losses(recorded: Loss, reported: Loss) -> Loss:
    """Return one of two reports of a loss; `recorded` if nothing changes.

    The earlier one counts. All processes keep the same observer.
    """
    names = {recorded.observer, reported.observer} - {''}
    observer = min(names, default='')
    earlier = recorded
    if reported.at_s + MIN_EARLIER_S < recorded.at_s:
        earlier = reported
    if earlier.observer == observer:
        return earlier
    return replace(earlier, observer=observer)
