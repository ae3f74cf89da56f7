"""Records of capacity that one region grants to another.

Times are seconds on the monotonic clock of the process that holds the record.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

# A hand-over needs one network delay between regions, a grant that travels
# with the polls up to a period of 0.2 s and another delay. Longer grants hold
# capacity back from the granting region without need.
GRANT_TTL_S = 0.6


@dataclass(frozen=True)
class Capacity:
    """Free capacity of a service in a region.

    Parameters
    ----------
    slots : int
        Requests that may start now.
    tokens : float
        Tokens of engine memory that they may use together; infinite if the
        memory is not limited.

    Examples
    --------
    >>> Capacity(5, 300) - Capacity(2, 100)
    Capacity(slots=3, tokens=200)
    """

    slots: int = 0
    tokens: float = 0.0

    def __add__(self, other: 'Capacity') -> 'Capacity':
        return Capacity(self.slots + other.slots, self.tokens + other.tokens)

    def __sub__(self, other: 'Capacity') -> 'Capacity':
        tokens = self.tokens
        if tokens != inf:
            tokens -= other.tokens
        return Capacity(self.slots - other.slots, tokens)


NO_CAPACITY = Capacity()


@dataclass(frozen=True)
class Grant:
    """Capacity of a service that a picker grants to another region.

    Parameters
    ----------
    source : str
        Process of the granting picker.
    number : int
        Number of the grant, unique for that process.
    region : str
        The region that receives the grant.
    service : str
        The service.
    capacity : Capacity
        What may be started in the granting region.
    expires_s : float
        When the grant ends.
    """

    source: str
    number: int
    region: str
    service: str
    capacity: Capacity
    expires_s: float


@dataclass(frozen=True)
class GrantUse:
    """One request's use of one slot of a grant, named in its hand-over.

    Parameters
    ----------
    source, number : str, int
        Identify the grant.
    slot : int
        Index of the slot within the grant; each is used once.

    Examples
    --------
    >>> GrantUse('p1', 7, 0).grant_name
    'p1/7'
    """

    source: str
    number: int
    slot: int

    @property
    def grant_name(self) -> str:
        """Name of the grant in exclusions and log lines."""
        return grant_name(self.source, self.number)


@dataclass(frozen=True)
class UnmetDemand:
    """Demand for a service that a picker cannot serve in its region.

    Parameters
    ----------
    service : str
        The service.
    capacity : Capacity
        What its requests need elsewhere within the lifetime of a grant.
    """

    service: str
    capacity: Capacity


@dataclass(frozen=True)
class GrantNews:
    """What a picker tells the pickers of all regions.

    Parameters
    ----------
    grants : tuple of Grant
        Its unexpired grants to all regions.
    demands : tuple of UnmetDemand
        Its demand that its own region cannot serve.
    reporters : int
        Entry VMs that query it. A picker without any takes no share of what
        its region grants or is granted.
    round_trips : mapping
        Round trip to each other region in seconds, as it measures them.
    """

    grants: tuple[Grant, ...] = ()
    demands: tuple[UnmetDemand, ...] = ()
    reporters: int = 0
    round_trips: Mapping[str, float] = field(default_factory=dict)


def grant_name(source: str, number: int) -> str:
    """Return the name of a grant in exclusions and log lines."""
    return f'{source}/{number}'
