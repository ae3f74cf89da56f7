"""Which control VM an entry VM polls, and when it polls the others.

The preferred control VM, the nearest one that answers, returns the tables of
all control VMs, each with its age. Another control VM is polled directly only
while its table is older here than a bound. So every entry VM that can reach
the control VM which acknowledged an upstream's departure learns of it within
that bound, whether or not the control VMs can reach each other. No I/O; times
are seconds on this VM's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from godwitshunt.registry.gen.wire import ttypes

NEVER_S = float('-inf')
# Control VMs exchange changes each quarter of a second and entry VMs poll each
# 0.7 s; between two regions a table is up to 0.5 s old when it is relayed. An
# upstream that leaves must receive no requests 3 s after its acknowledgement.
# Polled after 1.2 s, a control VM that only this VM can reach answers within
# half of that time.
STALE_AFTER_S = 1.2
# A control VM that has not answered a call for this long is not preferred.
ANSWERED_WITHIN_S = 3.0
# The shortest recent round trip measures the distance of a control VM. The
# known value grows by this factor with each call until a shorter one is seen.
ROUND_TRIP_GROWTH = 1.02
# Interval between polls of a control VM that is not the preferred one.
PROBE_PERIOD_S = 0.7


@dataclass(frozen=True)
class HeldTable:
    """Versions of a table that a control VM holds.

    Parameters
    ----------
    asof_s : float
        When the table was current, in monotonic seconds.
    """

    version: int
    entries_version: int
    asof_s: float

    def to_wire(self, source: str) -> ttypes.TableHeld:
        """Return it as a struct.

        Parameters
        ----------
        source : str
            Control process of the table.
        """
        return ttypes.TableHeld(source, self.version, self.entries_version)


@dataclass
class ControlContact:
    """State of this VM's calls to one control VM.

    Parameters
    ----------
    source : str
        Process that answered last.
    region : str
        Region of the control VM.
    requested_s, answered_s : float
        When it was last polled, and when the last call that it answered was
        sent.
    round_trip_s : float
        Its shortest recent round trip.
    is_failing : bool
        True from an unanswered call until the next answer.
    wants_grants : bool
        True if it wants grants that it does not get itself.
    picker_active : bool
        True if it assigns destinations to the entry VMs of its region.
    prefixes_version : int
        Version of its table of cached prefixes that is known here.
    prefixes_sent_version : int
        Version of this VM's own cached prefixes that it has received.
    suspects_version : int
        Version of its suspected requests that is known here.
    suspects_sent_version : int
        Version of this VM's own lost requests that it has received.
    outdated_tables : dict
        If it reported stale tables: the tables that it holds, by their
        process.
    """

    source: str = ''
    region: str = ''
    requested_s: float = NEVER_S
    answered_s: float = NEVER_S
    round_trip_s: float = inf
    is_failing: bool = False
    wants_grants: bool = False
    picker_active: bool = False
    prefixes_version: int = 0
    prefixes_sent_version: int = 0
    suspects_version: int = 0
    suspects_sent_version: int = 0
    outdated_tables: dict[str, HeldTable] = field(default_factory=dict)

    def record_answer(self, source: str, sent_s: float, now_s: float) -> None:
        """Record an answer; a new process has received nothing yet."""
        if source != self.source:
            self.source = source
            self.prefixes_version = 0
            self.prefixes_sent_version = 0
            self.suspects_version = 0
            self.suspects_sent_version = 0
        self.answered_s = max(self.answered_s, sent_s)
        took_s = now_s - sent_s
        self.round_trip_s = min(took_s, self.round_trip_s * ROUND_TRIP_GROWTH)
        self.is_failing = False

    def record_failure(self) -> None:
        """Record an unanswered call."""
        self.is_failing = True
        self.picker_active = False

    def is_responsive(self, now_s: float) -> bool:
        """Return whether it answers, judging by this VM's calls."""
        return (
            not self.is_failing and now_s - self.answered_s < ANSWERED_WITHIN_S
        )


@dataclass(frozen=True)
class KnownControl:
    """A control VM as an entry VM knows it now.

    Parameters
    ----------
    name : str
        Its peer address.
    is_local : bool
        True if it is in this VM's region.
    table_asof_s : float
        When its newest table here, own or relayed, was current.
    """

    name: str
    is_local: bool
    table_asof_s: float


@dataclass
class Contacts:
    """State of one VM's calls to control VMs.

    Parameters
    ----------
    local_only_until_s : float
        Until then no control VM of another region is preferred.

    Examples
    --------
    >>> contacts = Contacts()
    >>> known = [KnownControl('b', True, 4.0), KnownControl('a', True, 4.0)]
    >>> for name in ('a', 'b'):
    ...     contacts.for_control(name).record_answer('s', sent_s=4.0, now_s=4.1)
    >>> contacts.preferred(known, now_s=5.0)
    'a'
    >>> contacts.for_control('a').record_failure()
    >>> contacts.preferred(known, now_s=5.0)
    'b'
    """

    by_name: dict[str, ControlContact] = field(default_factory=dict)
    local_only_until_s: float = NEVER_S

    def for_control(self, name: str) -> ControlContact:
        """Return the state of the calls to a control VM."""
        return self.by_name.setdefault(name, ControlContact())

    def preferred(
        self,
        known: Iterable[KnownControl],
        now_s: float,
    ) -> str | None:
        """Return the control VM to poll; None if none answers.

        All VMs of a region prefer the same local control VM, the first by
        name, so that their reports to it cover the whole region.
        """
        responsive = [
            control
            for control in known
            if self.for_control(control.name).is_responsive(now_s)
        ]
        local = [control.name for control in responsive if control.is_local]
        if local:
            return min(local)
        if now_s < self.local_only_until_s:
            return None
        return min(
            (control.name for control in responsive),
            key=lambda name: self.for_control(name).round_trip_s,
            default=None,
        )

    def picker(
        self,
        known: Iterable[KnownControl],
        now_s: float,
    ) -> str | None:
        """Return the control VM that assigns destinations here, if any."""
        local = [control for control in known if control.is_local]
        name = self.preferred(local, now_s)
        if name is None or not self.for_control(name).picker_active:
            return None
        return name

    def due(
        self,
        known: Iterable[KnownControl],
        now_s: float,
        period_s: float,
    ) -> list[str]:
        """Return the control VMs to poll now.

        Parameters
        ----------
        period_s : float
            Interval between polls of the preferred one.
        """
        controls = list(known)
        preferred = self.preferred(controls, now_s)
        return [
            control.name
            for control in controls
            if self.is_due(control, preferred, now_s, period_s)
        ]

    def is_due(
        self,
        control: KnownControl,
        preferred: str | None,
        now_s: float,
        period_s: float,
    ) -> bool:
        """Return whether a control VM is to be polled now."""
        waited_s = now_s - self.for_control(control.name).requested_s
        if control.name == preferred:
            return waited_s >= period_s
        if preferred is None and not self.for_control(control.name).source:
            return waited_s >= PROBE_PERIOD_S
        # A control VM that would be preferred if it answered may be back.
        would_be_preferred = control.is_local and (
            preferred is None or control.name < preferred
        )
        is_stale = now_s - control.table_asof_s > STALE_AFTER_S
        wanted = preferred is None or would_be_preferred or is_stale
        return wanted and waited_s >= PROBE_PERIOD_S
