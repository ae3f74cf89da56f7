"""What is known of one request that was lost to upstreams; pure.

Records are joined by union, so whoever tells whom, how often and in which
order makes no difference: all processes that heard the same come to believe
the same. Times are seconds on this VM's monotonic clock.
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
# A whole answer is told again only where it is later by this, in seconds, or
# clears a loss.
CLEAR_STEP_S = 5.0


@dataclass(frozen=True)
class Loss:
    """A place that ended while it had a request.

    Parameters
    ----------
    place : str
        The incarnation of an upstream, or the process of an entry VM.
    at_s : float
        When it was lost.
    exposure_s : float
        Seconds for which it had the request.
    """

    place: str
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
        By place; since the last whole answer.
    cleared_s : float
        Nothing until then is held against it: a place that ran it gave a
        whole answer, or an operator said so.
    version : int
        Of the table, when this last changed.

    Examples
    --------
    >>> record = SuspectRecord(Fingerprint(bytes(16)), '', 5)
    >>> record.take_loss(Loss('i-1', at_s=1.0, exposure_s=0.1))
    True
    >>> record.take_loss(Loss('i-2', at_s=2.0, exposure_s=0.1))
    True
    >>> record.score(), record.score(explained={'i-1'})
    (2, 1)
    >>> record.clear(at_s=3.0), record.score()
    (True, 0)
    """

    fingerprint: Fingerprint
    organisation: str
    body_bytes: int
    losses: dict[str, Loss] = field(default_factory=dict)
    cleared_s: float = -inf
    version: int = 0

    @property
    def is_cleared(self) -> bool:
        """True where something speaks for it."""
        return self.cleared_s > -inf

    def take_loss(self, loss: Loss) -> bool:
        """Take a loss; False where it changes nothing.

        Of two words of one loss the earlier counts. Each process that passes
        it on makes it look younger by the way of the message; so a loss that
        goes around among them cannot live for ever.
        """
        known = self.losses.get(loss.place)
        is_known = known is not None and known.at_s <= loss.at_s
        if is_known or loss.at_s <= self.cleared_s:
            return False
        self.losses[loss.place] = loss
        if len(self.losses) <= MOST_PLACES:
            return True
        oldest = min(self.losses.values(), key=lambda one: one.at_s)
        self.losses.pop(oldest.place)
        return oldest is not loss

    def clear(self, at_s: float) -> bool:
        """Hold nothing until a moment against it; False for nothing new.

        A moment that is later by little and clears nothing is not taken, for
        the same reason as the later word of a loss.
        """
        is_later = at_s - self.cleared_s >= CLEAR_STEP_S
        if self.drop_losses(at_s) or is_later:
            self.cleared_s = max(at_s, self.cleared_s)
            return True
        return False

    def join(self, other: 'SuspectRecord') -> bool:
        """Take all that another process knows; False for nothing new."""
        changes = [other.is_cleared and self.clear(other.cleared_s)]
        changes.extend(map(self.take_loss, other.losses.values()))
        return any(changes)

    def score(self, explained: Collection[str] = ()) -> int:
        """Return how many losses speak against it.

        Places that end at one moment share a fault that is not the request's,
        such as a lost rack; they count once. Else requests that many callers
        send alike, and that run at many places, would be held guilty.

        Parameters
        ----------
        explained : collection of str
            Places that ended under another request.
        """
        moments = sorted(
            loss.at_s
            for loss in self.losses.values()
            if loss.place not in explained
        )
        score = 0
        counted_s = -inf
        for at_s in moments:
            if at_s - counted_s > SAME_MOMENT_S:
                score += 1
                counted_s = at_s
        return score

    def last_loss_s(self) -> float:
        """Return when it was lost last."""
        return max((loss.at_s for loss in self.losses.values()), default=-inf)

    def exposure_s(self) -> float:
        """Return the seconds for which places that ended had it, in sum."""
        return sum(loss.exposure_s for loss in self.losses.values())

    def drop_losses(self, until_s: float) -> bool:
        """Forget losses until a moment; False where there were none."""
        old = [one.place for one in self.losses.values() if one.at_s <= until_s]
        for place in old:
            self.losses.pop(place)
        return bool(old)
