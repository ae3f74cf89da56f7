"""Requests whose route is known."""

from dataclasses import dataclass
from functools import cached_property
from math import isfinite

from godwitshunt.exchange.problems import Headers
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.grants import GrantUse
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.manifest import Organisation, Route, Service
from godwitshunt.quarantine import Fingerprint, SuspectPart

MILLISECONDS = 1000
# Upstreams' queues have urgencies from 0 to 9. Levels of routes start here,
# which leaves urgencies below it for requests that must not wait.
URGENCY_OF_FIRST_LEVEL = 3
LEAST_URGENT = 9
# Parts of a prompt that are recorded where it is lost.
MAX_SUSPECT_PARTS = 32
MAX_PART_NAME = 80


@dataclass(frozen=True)
class RoutedRequest:
    """One attempt of a caller.

    Parameters
    ----------
    id : str
        The caller's id of the attempt.
    headers : tuple of (bytes, bytes)
        Headers that are passed on to an upstream.
    route : Route
        Route with the settings of the request's organisation.
    arrived_s : float
        When the request was read, in monotonic seconds.
    deadline_at_s : float
        When the request times out, in monotonic seconds.
    resume_after : int or None
        Id of the last event that the caller has received.
    repeat : bool
        True where an upstream received it before it was forwarded.
    is_forwarded : bool
        True where another VM forwarded it.
    low_urgency_regions : frozenset of str
        Regions that are no home of the service's more urgent routes.
    level : int
        Urgency level; 0 is the most urgent.
    organisation : Organisation or None
        The organisation that sent it; None for none.
    key_sha256 : str
        Digest of its key; empty where it was forwarded or has none.
    grant : GrantUse or None
        The grant of this region by which it was forwarded.
    due_cost : float
        Units of its organisation's limit that the VM which forwarded it has
        not charged.
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
    grant: GrantUse | None = None
    due_cost: float = 0.0

    @property
    def organisation_name(self) -> str:
        """Name of its organisation; empty for none."""
        return '' if self.organisation is None else self.organisation.name

    @property
    def cost(self) -> float:
        """Its cost in its organisation's limit."""
        if self.is_forwarded:
            return self.due_cost
        if self.organisation is None or self.organisation.limit is None:
            return 0.0
        tokens = self.prompt.stated_prompt_tokens + self.prompt.output_tokens
        return self.organisation.limit.cost(tokens)

    @property
    def urgency(self) -> int:
        """Urgency in an upstream's queue."""
        return min(LEAST_URGENT, URGENCY_OF_FIRST_LEVEL + self.level)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint that all repeats of this request share.

        A long body takes time to hash, so this is read only where an upstream
        was lost.
        """
        http = self.http
        return Fingerprint.from_parts(
            http.method,
            (http.header(b'host') or '').encode('latin-1'),
            http.target.encode('latin-1'),
            self.organisation_name,
            http.body,
        )

    @cached_property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Fingerprints of the parts that its prompt shares with others."""
        keys = dict.fromkeys(part.key for part in self.prompt.shared_parts)
        return tuple(
            Fingerprint.from_prompt_part(
                self.service.name, self.organisation_name, key
            )
            for key in tuple(keys)[:MAX_SUSPECT_PARTS]
        )

    def suspect_parts(self) -> dict[Fingerprint, SuspectPart]:
        """Return what is recorded of these parts where they are lost."""
        keys = dict.fromkeys(part.key for part in self.prompt.shared_parts)
        return {
            fingerprint: SuspectPart(part_name(self.service, key), position)
            for position, (fingerprint, key) in enumerate(
                zip(self.part_fingerprints, keys, strict=False)
            )
        }

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds until it times out."""
        return self.deadline_at_s - now_s


def part_name(service: Service, key: int) -> str:
    """Return the name of a part of prompts, for operators and logs."""
    return f'{service.name} {key:x}'[:MAX_PART_NAME]


def caller_timeout_s(request: HttpRequest, names: HeaderNames) -> float:
    """Return the caller's timeout in seconds; infinite where not stated."""
    header = request.header(names.deadline_ms)
    try:
        milliseconds = float(header or 'inf')
    except ValueError:
        return float('inf')
    if not isfinite(milliseconds):
        return float('inf')
    return max(0.0, milliseconds / MILLISECONDS)


def read_last_event_id(request: HttpRequest, names: HeaderNames) -> int | None:
    """Return the id of the last event that the caller has received."""
    header = request.header(names.resume_after)
    if header is None or not header.strip().isdecimal():
        return None
    return int(header)


def read_prompt(request: HttpRequest, names: HeaderNames) -> Prompt:
    """Return the prompt that a request's headers describe."""
    return Prompt.from_headers(
        request.header(names.prompt_parts),
        request.header(names.token_count),
    )
