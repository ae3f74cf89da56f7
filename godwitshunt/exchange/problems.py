"""Refusals as problem details (RFC 9457), each with a type of its own."""

import json
import math
from dataclasses import dataclass
from enum import Enum, StrEnum

Headers = tuple[tuple[bytes, bytes], ...]

TYPE_PREFIX = 'urn:godwitshunt:problem:'
CONTENT_TYPE = b'application/problem+json'
# Tells another VM what is known of the run of a request that is refused.
OUTCOME_HEADER = b'godwitshunt-outcome'


class Outcome(StrEnum):
    """What is known of the run of a request that was refused.

    `not_run` is said only where no attempt under the request's key can have
    reached an upstream.
    """

    not_run = 'not-run'
    unknown = 'unknown'


class ProblemKind(Enum):
    """Each type of refusal: last part of its URI, HTTP status, title."""

    malformed = ('malformed', 400, 'The request is not valid HTTP/1.1')
    ambiguous_length = (
        'ambiguous-length',
        400,
        'The request gives its length in two ways',
    )
    invalid_document = ('invalid-document', 400, 'The JSON body does not fit')
    key_missing = ('key-missing', 400, 'The call needs an Idempotency-Key')
    key_malformed = ('key-malformed', 400, 'The Idempotency-Key has no stamp')
    unauthorized = ('unauthorized', 401, 'No known key was given')
    forbidden = ('forbidden', 403, 'The key does not allow this')
    residency = ('residency', 403, 'No region may serve this request')
    not_found = ('not-found', 404, 'There is nothing under this path')
    method = ('method-not-allowed', 405, 'The path does not take this method')
    timeout = ('read-timeout', 408, 'The request did not arrive in time')
    in_progress = ('in-progress', 409, 'The same key runs at this moment')
    key_reused = ('key-reused', 409, 'The key was used for another request')
    stale_announcement = (
        'stale-announcement',
        409,
        'A newer announcement is known',
    )
    run_unknown = ('run-unknown', 409, 'The call may have run already')
    key_expired = ('key-expired', 410, 'The key is older than kept claims')
    body_too_large = ('body-too-large', 413, 'The body is too large')
    limited = ('limited', 429, 'The caller sends more than its limit')
    header_too_large = ('header-too-large', 431, 'The headers are too large')
    internal = ('internal', 500, 'A fault of the gateway')
    upstream_broken = ('upstream-broken', 502, 'The upstream broke off')
    no_upstream = ('no-upstream', 503, 'No upstream can take this request')
    overloaded = ('overloaded', 503, 'The deadline cannot be met')
    quarantined = (
        'quarantined',
        503,
        'Upstreams that ran this request crashed',
    )
    isolated = ('isolated', 503, 'This region is cut off from the others')
    draining = ('draining', 503, 'This VM is shutting down')
    unproven = ('unproven', 503, 'Which keys hold is not known here')
    not_ready = ('not-ready', 503, 'This VM has no configuration yet')
    no_majority = ('no-majority', 503, 'Too few claim holders answered')
    revision_behind = ('revision-behind', 503, 'An older revision is in force')
    connections = ('too-many-connections', 503, 'Too many connections')
    deadline = ('deadline', 504, 'The deadline passed')
    http_version = ('http-version', 505, 'HTTP/1.1 is needed')
    table_full = ('table-full', 507, 'Too many upstreams are known')
    loop = ('loop', 508, 'The request came back to this VM')

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


@dataclass(frozen=True)
class Problem:
    """One refusal.

    Parameters
    ----------
    kind : ProblemKind
        Type, status and title.
    detail : str
        What was wrong with this request.
    outcome : Outcome
        Whether the request may have run.
    retry_after_s : float or None
        Seconds after which coming back may help; None where it does not.
    """

    kind: ProblemKind
    detail: str
    outcome: Outcome = Outcome.unknown
    retry_after_s: float | None = None


@dataclass(frozen=True)
class WholeAnswer:
    """Status, headers and body of an answer that is sent in one piece."""

    status: int
    headers: Headers
    body: bytes


def render_problem(problem: Problem) -> WholeAnswer:
    """Return the answer that tells a caller of a problem.

    Examples
    --------
    >>> answer = render_problem(Problem(ProblemKind.limited, 'slow down'))
    >>> answer.status
    429
    """
    document = {
        'type': TYPE_PREFIX + problem.kind.slug,
        'title': problem.kind.title,
        'status': problem.kind.status,
        'detail': problem.detail,
        'outcome': problem.outcome.value,
    }
    headers = [
        (b'content-type', CONTENT_TYPE),
        (b'godwitshunt-outcome', problem.outcome.value.encode()),
    ]
    if problem.retry_after_s is not None:
        document['retry_after_s'] = problem.retry_after_s
        # The header takes whole seconds; rounding up never calls back early.
        seconds = max(1, math.ceil(problem.retry_after_s))
        headers.append((b'retry-after', str(seconds).encode()))
    if problem.kind is ProblemKind.unauthorized:
        headers.append((b'www-authenticate', b'Bearer'))
    return WholeAnswer(
        problem.kind.status,
        tuple(headers),
        json.dumps(document).encode(),
    )


def json_answer(document: object, status: int = 200) -> WholeAnswer:
    """Return an answer with a JSON body."""
    return WholeAnswer(
        status,
        ((b'content-type', b'application/json'),),
        json.dumps(document).encode(),
    )
