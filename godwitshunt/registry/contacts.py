"""Which control VM an entry VM asks, and when it asks the others; pure.

One control VM tells the tables of all, each with its age; it is the nearest
one that answers. Another one is asked directly only while its table is older
here than a bound: whoever acknowledged that an upstream leaves is heard within
that bound by every entry VM that reaches it, whether control VMs hear each
other or not. Times are seconds on this VM's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.gen.wire import ttypes

NEVER_S = float('-inf')
# Control VMs tell each other of changes each quarter of a second, and entry
# VMs ask for them each 0.7 s; over two regions a table is up to 0.5 s old when
# it is told. An upstream that leaves must get nothing 3 s after the
# acknowledgement; asked after 1.2 s, a control VM that only this VM reaches is
# heard in half of that.
STALE_AFTER_S = 1.2
# A control VM that has not answered a call for so long is not asked first.
ANSWERED_WITHIN_S = 3.0
# The shortest call of late shows how far a control VM is: by this much a known
# one grows with each call, until one shows it again.
LONGER = 1.02
# So often one is asked that is not the one to ask.
PROBE_PERIOD_S = 0.7


@dataclass(frozen=True)
class HeldTable:
    """A table as a control VM holds it.

    Parameters
    ----------
    asof_s : float
        It is as of then.
    """

    version: int
    entries_version: int
    asof_s: float

    def to_wire(self, source: str) -> ttypes.TableHeld:
        """Return it as a struct, with the process that the table is of."""
        return ttypes.TableHeld(source, self.version, self.entries_version)


@dataclass
class ControlContact:
    """What this VM's own calls to one control VM have shown.

    Parameters
    ----------
    source : str
        The process that answered last.
    region : str
        Where it stands.
    asked_s, answered_s : float
        When it was last asked, and when the last call that it answered was
        sent.
    round_trip_s : float
        What its fastest answers of late took.
    fails : bool
        True from a call without answer to the next answer.
    picker_active : bool
        True where it gives places to entry VMs of its region.
    prefixes_version : int
        What to ask held prefixes after.
    prefixes_told : int
        Version of this VM's own reads that it has been told.
    suspects_version : int
        What to ask suspected requests after.
    suspects_told : int
        Version of this VM's own lost requests that it has been told.
    misses : dict
        Tables that it has said to miss the newest of, as it holds them: by
        their process, with the time that they are as of.
    """

    source: str = ''
    region: str = ''
    asked_s: float = NEVER_S
    answered_s: float = NEVER_S
    round_trip_s: float = inf
    fails: bool = False
    picker_active: bool = False
    prefixes_version: int = 0
    prefixes_told: int = 0
    suspects_version: int = 0
    suspects_told: int = 0
    misses: dict[str, HeldTable] = field(default_factory=dict)

    def answer(self, source: str, sent_s: float, now_s: float) -> None:
        """Note an answer; another process than before was told nothing."""
        if source != self.source:
            self.source = source
            self.prefixes_version = 0
            self.prefixes_told = 0
            self.suspects_version = 0
            self.suspects_told = 0
        self.answered_s = max(self.answered_s, sent_s)
        took_s = now_s - sent_s
        self.round_trip_s = min(took_s, self.round_trip_s * LONGER)
        self.fails = False

    def record_failure(self) -> None:
        """Note a call without answer."""
        self.fails = True
        self.picker_active = False

    def answers(self, now_s: float) -> bool:
        """Tell whether it is well, as far as this VM's calls show."""
        return not self.fails and now_s - self.answered_s < ANSWERED_WITHIN_S


@dataclass(frozen=True)
class KnownControl:
    """A control VM as an entry VM knows it now.

    Parameters
    ----------
    name : str
        Where peers reach it.
    is_here : bool
        True where it stands in this VM's region.
    table_s : float
        Its table, by whomever it was told, is as of then.
    """

    name: str
    is_here: bool
    table_s: float


@dataclass
class Contacts:
    """Calls of one VM to control VMs.

    Parameters
    ----------
    near_only_until_s : float
        Until then none of another region is the one to ask.

    Examples
    --------
    >>> contacts = Contacts()
    >>> known = [KnownControl('b', True, 4.0), KnownControl('a', True, 4.0)]
    >>> for name in ('a', 'b'):
    ...     contacts.for_control(name).answer('s', sent_s=4.0, now_s=4.1)
    >>> contacts.first(known, now_s=5.0)
    'a'
    >>> contacts.for_control('a').record_failure()
    >>> contacts.first(known, now_s=5.0)
    'b'
    """

    by_name: dict[str, ControlContact] = field(default_factory=dict)
    near_only_until_s: float = NEVER_S

    def for_control(self, name: str) -> ControlContact:
        """Return what calls to a control VM have shown."""
        return self.by_name.setdefault(name, ControlContact())

    def first(
        self,
        known: Iterable[KnownControl],
        now_s: float,
    ) -> str | None:
        """Return the control VM to ask; None where none answers.

        All VMs of a region ask the same one of its control VMs, the first by
        name: what it hears of them is then all that goes on there.
        """
        well = [
            one for one in known if self.for_control(one.name).answers(now_s)
        ]
        here = [one.name for one in well if one.is_here]
        if here:
            return min(here)
        if now_s < self.near_only_until_s:
            return None
        return min(
            (one.name for one in well),
            key=lambda name: self.for_control(name).round_trip_s,
            default=None,
        )

    def picker(
        self,
        known: Iterable[KnownControl],
        now_s: float,
    ) -> str | None:
        """Return the control VM that gives places here; None for none."""
        listed = [one for one in known if one.is_here]
        name = self.first(listed, now_s)
        if name is None or not self.for_control(name).picker_active:
            return None
        return name

    def to_ask(
        self,
        known: Iterable[KnownControl],
        now_s: float,
        period_s: float,
    ) -> list[str]:
        """Return the control VMs to ask now.

        Parameters
        ----------
        period_s : float
            How often the first one is asked.
        """
        listed = list(known)
        first = self.first(listed, now_s)
        return [
            one.name
            for one in listed
            if self.is_due(one, first, now_s, period_s)
        ]

    def is_due(
        self,
        one: KnownControl,
        first: str | None,
        now_s: float,
        period_s: float,
    ) -> bool:
        """Tell whether a control VM is to be asked now."""
        waited_s = now_s - self.for_control(one.name).asked_s
        if one.name == first:
            return waited_s >= period_s
        if first is None and not self.for_control(one.name).source:
            return waited_s >= PROBE_PERIOD_S
        # One that would be asked first, if it answered, may be back.
        would_be_first = one.is_here and (first is None or one.name < first)
        is_stale = now_s - one.table_s > STALE_AFTER_S
        wanted = first is None or would_be_first or is_stale
        return wanted and waited_s >= PROBE_PERIOD_S
