"""Which headers go on to an upstream and back to a caller."""

from godwitshunt.exchange.passed_headers import HOP_BY_HOP, number, passed_on
from godwitshunt.exchange.problems import Headers
from godwitshunt.ingress.header_names import HeaderNames

MILLISECONDS = 1000
# Routes have no keys of this system: credentials are the upstream's business.
CONNECTION_ONLY = HOP_BY_HOP - {b'authorization'}


def keep_sendable(headers: Headers, names: HeaderNames) -> Headers:
    """Return a caller's headers without those that this system sets."""
    dropped = {
        names.request_id,
        names.deadline_ms,
        names.expected_instance,
        names.urgency,
        names.key,
        names.organisation,
        *names.reserved,
    }
    return tuple(
        (name, content)
        for name, content in passed_on(headers, CONNECTION_ONLY)
        if name not in dropped
    )


def for_upstream(
    headers: Headers,
    names: HeaderNames,
    instance: str,
    remaining_s: float,
    urgency: int,
    resume_after: int | None,
    organisation: str = '',
) -> Headers:
    """Return a request's headers as an upstream gets them.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        As `keep_sendable` returned them.
    instance : str
        The incarnation that the request is meant for.
    remaining_s : float
        Seconds until the request is given up.
    resume_after : int or None
        Id of the last event that the caller has; None for a new stream.
    organisation : str
        Whose request it is; empty for nobody's.
    """
    kept = headers
    if resume_after is not None:
        kept = tuple(pair for pair in headers if pair[0] != names.resume_after)
        kept = (*kept, (names.resume_after, number(resume_after)))
    if organisation:
        kept = (*kept, (names.organisation, organisation.encode()))
    return (
        *kept,
        (names.deadline_ms, number(max(1, remaining_s * MILLISECONDS))),
        (names.expected_instance, instance.encode()),
        (names.urgency, number(urgency)),
    )
