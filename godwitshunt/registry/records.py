"""What is known of an incarnation of an upstream and of an entry VM."""

from dataclasses import dataclass

from godwitshunt.settings import Address


@dataclass(frozen=True)
class UpstreamAnnounced:
    """What an upstream told of itself.

    Parameters
    ----------
    instance : str
        What it calls itself; the same when it starts again.
    service : str
        What it serves; a name of the manifest.
    address : Address
        Where it takes requests. Another service's upstream may get it later.
    failure_domain : str
        Where it stands.
    slots : int
        Requests that it runs at once.
    draining : bool
        True where it takes no new work and will leave.
    cold_s : float
        Seconds for which it stays cold.
    sequence : int
        Rises with each announcement of the incarnation.
    ends_in_s : float or None
        Seconds until it is gone whatever it runs; None where not known.
    born_ms : int or None
        When this start of it began, by its own clock in Unix milliseconds;
        None where it does not tell.

    Examples
    --------
    >>> address = Address(host='10.0.0.1', port=80)
    >>> told = ('i-1', 'chat', address, 'a', 8, False, 0, 1)
    >>> UpstreamAnnounced(*told).incarnation
    'i-1'
    >>> UpstreamAnnounced(*told, born_ms=1700000000000).incarnation
    'i-1~1700000000000'
    """

    instance: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool
    cold_s: float
    sequence: int
    ends_in_s: float | None = None
    born_ms: int | None = None

    @property
    def incarnation(self) -> str:
        """Names this start of it, among all starts of all upstreams."""
        return incarnation_name(self.instance, self.born_ms)


@dataclass(frozen=True)
class EntryRecord:
    """An entry VM.

    Parameters
    ----------
    session : str
        Drawn at each start of its process.
    http : Address
        Where callers reach it.
    hop : Address
        Where other entry VMs hand requests over.
    accepting : bool
        False while it drains or knows no configuration.
    """

    name: str
    session: str
    region: str
    failure_domain: str
    http: Address
    hop: Address
    accepting: bool


@dataclass(frozen=True)
class Load:
    """Requests at an upstream that have not ended.

    Parameters
    ----------
    in_flight : int
        Requests.
    pending_tokens : int
        Prompt tokens of those that have shown no first event yet.
    """

    in_flight: int = 0
    pending_tokens: int = 0

    def __add__(self, other: 'Load') -> 'Load':
        return Load(
            self.in_flight + other.in_flight,
            self.pending_tokens + other.pending_tokens,
        )

    def __sub__(self, other: 'Load') -> 'Load':
        return Load(
            self.in_flight - other.in_flight,
            self.pending_tokens - other.pending_tokens,
        )


def incarnation_name(instance: str, born_ms: int | None) -> str:
    """Return the name of one start of an upstream."""
    return instance if born_ms is None else f'{instance}~{born_ms}'
