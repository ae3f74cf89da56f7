"""Headers that are passed on to upstreams and back to callers."""

from godwitshunt.exchange.passed_headers import HOP_BY_HOP, number, passed_on
from godwitshunt.exchange.problems import Headers
from godwitshunt.ingress.header_names import HeaderNames

MILLISECONDS = 1000
# ``Authorization`` is passed on: routes use keys of their own, so it is meant
# for the upstream.
CONNECTION_ONLY = HOP_BY_HOP - {b'authorization'}


def forwardable_headers(headers: Headers, names: HeaderNames) -> Headers:
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


def upstream_headers(
    headers: Headers,
    names: HeaderNames,
    instance: str,
    remaining_s: float,
    urgency: int,
    resume_after: int | None,
    organisation: str = '',
) -> Headers:
    """Return a request's headers as they are sent to an upstream.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        As `forwardable_headers` returned them.
    instance : str
        The upstream that the request is meant for.
    remaining_s : float
        Seconds until the request times out.
    resume_after : int or None
        Id of the last event that the caller has received; None for a new
        stream.
    organisation : str
        The organisation that sent the request; empty for none.
    """
    selected = headers
    if resume_after is not None:
        selected = tuple(
            pair for pair in headers if pair[0] != names.resume_after
        )
        selected = (*selected, (names.resume_after, number(resume_after)))
    if organisation:
        selected = (*selected, (names.organisation, organisation.encode()))
    return (
        *selected,
        (names.deadline_ms, number(max(1, remaining_s * MILLISECONDS))),
        (names.expected_instance, instance.encode()),
        (names.urgency, number(urgency)),
    )
