"""Records of upstream incarnations, entry VMs and their load."""

from dataclasses import dataclass
from functools import cached_property

from godwitshunt.settings import Address


@dataclass(frozen=True)
class UpstreamAnnounced:
    """An announcement that an upstream sent about itself.

    Parameters
    ----------
    instance : str
        Name that the upstream gives itself; the same after a restart.
    service : str
        Name in the manifest of the service that it provides.
    address : Address
        Where it accepts requests. An upstream of another service may reuse
        the address later.
    failure_domain : str
        Failure domain that it runs in.
    slots : int
        Requests that it runs concurrently.
    draining : bool
        True when it accepts no new requests and is about to shut down.
    cold_s : float
        Remaining seconds of its cold start.
    sequence : int
        Rises with each announcement of the incarnation.
    ends_in_s : float or None
        Seconds until it terminates, whether or not requests are still
        running; None if unknown.
    born_ms : int or None
        Start time of this incarnation by its own clock, in Unix milliseconds;
        None if it does not send one.

    Examples
    --------
    >>> address = Address(host='10.0.0.1', port=80)
    >>> fields = ('i-1', 'chat', address, 'a', 8, False, 0, 1)
    >>> UpstreamAnnounced(*fields).incarnation
    'i-1'
    >>> UpstreamAnnounced(*fields, born_ms=1700000000000).incarnation
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

    @cached_property
    def incarnation(self) -> str:
        """Name of this incarnation, unique among all upstreams."""
        return incarnation_name(self.instance, self.born_ms)


@dataclass(frozen=True)
class EntryRecord:
    """An entry VM.

    Parameters
    ----------
    session : str
        Random identifier, new at each start of its process.
    http : Address
        Where callers reach it.
    hop : Address
        Where other entry VMs forward requests to it.
    accepting : bool
        False while it drains or has no configuration.
    reaches_upstreams : bool
        False while it reaches no upstream of its region.
    """

    name: str
    session: str
    region: str
    failure_domain: str
    http: Address
    hop: Address
    accepting: bool
    reaches_upstreams: bool = True


@dataclass(frozen=True)
class Load:
    """Requests in progress at an upstream.

    Parameters
    ----------
    in_flight : int
        Number of requests.
    pending_tokens : int
        Prompt tokens of the requests that have not returned a first event.
    reserved_tokens : int
        Tokens of an engine's memory that the requests need until they end.
    """

    in_flight: int = 0
    pending_tokens: int = 0
    reserved_tokens: int = 0

    def __add__(self, other: 'Load') -> 'Load':
        return Load(
            self.in_flight + other.in_flight,
            self.pending_tokens + other.pending_tokens,
            self.reserved_tokens + other.reserved_tokens,
        )

    def __sub__(self, other: 'Load') -> 'Load':
        return Load(
            self.in_flight - other.in_flight,
            self.pending_tokens - other.pending_tokens,
            self.reserved_tokens - other.reserved_tokens,
        )


@dataclass(frozen=True)
class MemoryClaim:
    """Memory of an engine that one request needs until it ends.

    Parameters
    ----------
    own_tokens : int
        Its prompt without the shared prefix, and its expected answer.
    shared_key : int or None
        Identifies the shared prefix of its prompt; None if there is none.
    shared_tokens : int
        Length of that prefix. An engine keeps it once for all requests.
    """

    own_tokens: int = 0
    shared_key: int | None = None
    shared_tokens: int = 0


def incarnation_name(instance: str, born_ms: int | None) -> str:
    """Return the name of an incarnation of an upstream."""
    return instance if born_ms is None else f'{instance}~{born_ms}'
