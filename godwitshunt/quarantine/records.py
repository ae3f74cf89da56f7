"""What is known of one request that was lost to upstreams; pure.

Records are joined by union of named facts, so whoever tells whom, how often
and in which order makes no difference: all processes that heard the same come
to believe the same, but for the time that messages take. Times are seconds on
this VM's monotonic clock.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf

from godwitshunt.quarantine.fingerprint import Fingerprint

# Losses that a record remembers; the oldest yield.
MOST_PLACES = 16
# VMs of other regions tell of one moment as of another, by the way of their
# messages and of the news among control VMs.
SAME_MOMENT_S = 0.2
# An earlier word of what is known counts only where it is earlier by this, in
# seconds: messages tell ages in milliseconds.
EARLIER_BY_S = 0.01
# Whole answers, and words of operators, that a record remembers.
MOST_CLEARANCES = 8


@dataclass(frozen=True)
class Loss:
    """A place that ended while it had a request.

    Parameters
    ----------
    incarnation : str
        The incarnation of an upstream, or the process of an entry VM.
    at_s : float
        When it was lost.
    exposure_s : float
        Seconds for which it had the request.
    """

    incarnation: str
    at_s: float
    exposure_s: float


@dataclass
class SuspectRecord:
    """One request, and the places that ended while they had it.

    Parameters
    ----------
    organisation : str
        Whose request it is; empty for nobody's.
    body_bytes : int
        Length of its body: a request of another length is not compared.
    losses : dict
        By place.
    clearances : dict
        Moments, by the name of each, up to which nothing is held against it:
        a place gave a whole answer, or an operator said so.
    version : int
        Of the table, when this last changed.

    Examples
    --------
    >>> record = SuspectRecord(Fingerprint(bytes(16)), '', 5)
    >>> record.add_loss(Loss('i-1', at_s=1.0, exposure_s=0.1))
    True
    >>> record.add_loss(Loss('i-2', at_s=2.0, exposure_s=0.1))
    True
    >>> record.moments(), record.moments(explained={'i-1'})
    (2, 1)
    >>> record.add_clearance('a-1', at_s=3.0), record.moments()
    (True, 0)
    """

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    losses: dict[str, Loss] = field(default_factory=dict)
    clearances: dict[str, float] = field(default_factory=dict)
    version: int = 0

    @property
    def cleared_s(self) -> float:
        """Until when nothing is held against it."""
        return max(self.clearances.values(), default=-inf)

    def held(self) -> list[Loss]:
        """Return the losses that are held against it, the oldest first."""
        cleared_s = self.cleared_s
        return sorted(
            (one for one in self.losses.values() if one.at_s > cleared_s),
            key=moment,
        )

    def add_loss(self, loss: Loss) -> bool:
        """Take a loss; False where it changes nothing.

        Of two words of one loss the earlier counts. Each process that passes
        it on makes it look younger by the way of the message; so a loss that
        goes around among them cannot live for ever.
        """
        known = self.losses.get(loss.incarnation)
        if known is not None and known.at_s <= loss.at_s + EARLIER_BY_S:
            return False
        self.losses[loss.incarnation] = loss
        if len(self.losses) <= MOST_PLACES:
            return True
        oldest = min(self.losses.values(), key=moment)
        self.losses.pop(oldest.incarnation)
        return oldest is not loss

    def add_clearance(self, name: str, at_s: float) -> bool:
        """Take a moment until which nothing counts; False for nothing new.

        Of two words of one moment the earlier counts, as with a loss.
        """
        if self.clearances.get(name, inf) <= at_s + EARLIER_BY_S:
            return False
        self.clearances[name] = at_s
        if len(self.clearances) <= MOST_CLEARANCES:
            return True
        oldest = min(self.clearances, key=self.clearances.__getitem__)
        self.clearances.pop(oldest)
        return oldest != name

    def join(self, other: 'SuspectRecord') -> bool:
        """Take all that another process knows; False for nothing new."""
        changes = list(map(self.add_loss, other.losses.values()))
        changes.extend(
            self.add_clearance(name, at_s)
            for name, at_s in other.clearances.items()
        )
        return any(changes)

    def moments(self, explained: Collection[str] = ()) -> int:
        """Return at how many moments places ended under it.

        Places that end at one moment may share a fault that is not the
        request's, such as a lost rack.

        Parameters
        ----------
        explained : collection of str
            Places that ended under another request.
        """
        moments = 0
        counted_s = -inf
        for loss in self.held():
            is_new = loss.at_s - counted_s > SAME_MOMENT_S
            if is_new and loss.incarnation not in explained:
                moments += 1
                counted_s = loss.at_s
        return moments

    def last_loss_s(self) -> float:
        """Return when it was lost last, of what is held against it."""
        return max((loss.at_s for loss in self.held()), default=-inf)

    def exposure_s(self) -> float:
        """Return the seconds for which places that ended had it, in sum."""
        return sum(loss.exposure_s for loss in self.held())

    def forget(self, until_s: float) -> bool:
        """Drop what was until a moment; False where there was nothing."""
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
        known = (len(self.losses), len(self.clearances))
        self.losses = losses
        self.clearances = clearances
        return known != (len(losses), len(clearances))

    @property
    def is_empty(self) -> bool:
        """True where nothing speaks for it or against it."""
        return not self.losses and not self.clearances


def moment(loss: Loss) -> float:
    """Return when something was lost."""
    return loss.at_s
