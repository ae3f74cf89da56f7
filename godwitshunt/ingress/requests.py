"""A request of a route, once its route is known."""

from dataclasses import dataclass
from functools import cached_property
from math import isfinite

from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.manifest import Organisation, Route, Service
from godwitshunt.quarantine import Fingerprint

MILLISECONDS = 1000
# Upstreams' queues take urgencies from 0 to 9; levels start here, so that
# there is room above them for what must not wait.
URGENCY_OF_FIRST_LEVEL = 3
LEAST_URGENT = 9


@dataclass(frozen=True)
class RoutedRequest:
    """One attempt of a caller.

    Parameters
    ----------
    id : str
        The caller's id of the attempt.
    headers : tuple of (bytes, bytes)
        What goes on to an upstream.
    route : Route
        As it holds for the request's organisation.
    arrived_s : float
        When it was read, in monotonic seconds.
    deadline_at_s : float
        When it is given up.
    resume_after : int or None
        Id of the last event that the caller has.
    repeat : bool
        True where an upstream has had it before it was handed over.
    is_forwarded : bool
        True where another VM handed it over.
    low_urgency_regions : frozenset of str
        Regions that more urgent routes of the service have no home in.
    level : int
        How urgent it is; 0 goes first.
    organisation : Organisation or None
        Whose it is; None for nobody's.
    key_sha256 : str
        Digest of the key that it came with; empty where it was handed over,
        or has none.
    """

    id: str
    http: HttpRequest
    headers: Headers
    route: Route
    service: Service
    prompt: Prompt
    arrived_s: float
    deadline_at_s: float
    resume_after: int | None = None
    repeat: bool = False
    is_forwarded: bool = False
    low_urgency_regions: frozenset[str] = frozenset()
    level: int = 0
    organisation: Organisation | None = None
    key_sha256: str = ''

    @property
    def organisation_name(self) -> str:
        """Whose it is; empty for nobody's."""
        return '' if self.organisation is None else self.organisation.name

    @property
    def cost(self) -> float:
        """What it counts for in its organisation's limit."""
        if self.organisation is None or self.organisation.limit is None:
            return 0.0
        told = self.prompt.stated_prompt_tokens + self.prompt.output_tokens
        return self.organisation.limit.cost(told)

    @property
    def urgency(self) -> int:
        """Urgency in an upstream's queue."""
        return min(LEAST_URGENT, URGENCY_OF_FIRST_LEVEL + self.level)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """What a repeat of this request has in common with it.

        It takes time for a long body, so it is asked for only where an
        upstream was lost.
        """
        http = self.http
        return Fingerprint.from_parts(
            http.method,
            (http.header(b'host') or '').encode('latin-1'),
            http.target.encode('latin-1'),
            self.organisation_name,
            http.body,
        )

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds until it is given up."""
        return self.deadline_at_s - now_s


def deadline_s(request: HttpRequest, names: HeaderNames) -> float:
    """Return for how many seconds the caller waits; infinite where not told."""
    told = request.header(names.deadline_ms)
    try:
        milliseconds = float(told or 'inf')
    except ValueError:
        return float('inf')
    if not isfinite(milliseconds):
        return float('inf')
    return max(0.0, milliseconds / MILLISECONDS)


def resume_after(request: HttpRequest, names: HeaderNames) -> int | None:
    """Return the id of the last event that the caller has."""
    told = request.header(names.resume_after)
    if told is None or not told.strip().isdecimal():
        return None
    return int(told)


def read_prompt(request: HttpRequest, names: HeaderNames) -> Prompt:
    """Return what a request tells of its prompt."""
    return Prompt.from_headers(
        request.header(names.prompt_parts),
        request.header(names.token_count),
    )
