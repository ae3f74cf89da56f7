"""Timeline and outcome of one request, from log lines; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import zip_longest

from godwitshunt.tracing.lines import LogLine

ENDED_KIND = 'ingress:request_ended'
REFUSED_KIND = 'ingress:request_refused'
STRAY_KIND = 'exchange:stray_bytes'
# State changes of a process within this time before the start or after the end
# of a request may explain its outcome.
CONTEXT_WINDOW_S = 5.0
# Choices that sent the request to no destination begin with these words.
NO_DESTINATION = frozenset(('overloaded', 'no upstream'))
# State changes that may explain a failed request: lost and restored
# dependencies, departed upstreams, draining VMs.
CONTEXT_KINDS = frozenset(
    (
        'exchange:single_use_began',
        'ingress:draining',
        'ingress:drain_cut',
        'picking:upstream_left_out',
        'quarantine:place_checked',
        'quarantine:standing_changed',
        'registry:control_lost',
        'registry:control_back',
        'registry:instance_replaced',
        'registry:news',
        'telemetry:lines_dropped',
    ),
)


@dataclass(frozen=True)
class RequestTimeline:
    """Log lines of one request, and a summary of its outcome.

    Parameters
    ----------
    lines : tuple of LogLine
        Line of the VM that received the request from the caller, then the
        line of the VM that it was forwarded to, if any.
    context : tuple of LogLine
        State changes of the same processes around that time, and stray bytes
        that met the request or were an answer to it.
    summary : str
        The attempts of the request and why it ended, as text.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    summary: str


def build_timeline(
    request: str, logs: Iterable[LogLine]
) -> RequestTimeline | None:
    """Return the timeline of a request; None if no line has its id."""
    all_lines = list(logs)
    lines = sorted(
        (line for line in all_lines if ends_request(line, request)),
        key=lambda line: (bool(line.fields.get('handed_over')), line.at_s),
    )
    if not lines:
        return None
    spans = {
        line.source: (
            line.at_s - line.fields.get('took_s', 0) - CONTEXT_WINDOW_S,
            line.at_s + CONTEXT_WINDOW_S,
        )
        for line in lines
    }
    context = sorted(
        (
            line
            for line in all_lines
            if is_about_stray_bytes(line, request)
            or (line.kind in CONTEXT_KINDS and is_within_spans(line, spans))
        ),
        key=lambda line: line.at_s,
    )
    return RequestTimeline(
        tuple(lines),
        tuple(context),
        ' '.join(summarize_line(line) for line in lines),
    )


def ends_request(line: LogLine, request: str) -> bool:
    """Return whether a line logs the end or the refusal of a request."""
    if line.kind not in {ENDED_KIND, REFUSED_KIND}:
        return False
    return line.fields.get('request') == request


def is_about_stray_bytes(line: LogLine, request: str) -> bool:
    """Return whether stray bytes met a request or were an answer to it.

    A late answer to it may come long after its end.
    """
    if line.kind != STRAY_KIND:
        return False
    return request in {line.fields.get('request'), line.fields.get('named')}


def is_within_spans(
    line: LogLine,
    spans: dict[str, tuple[float, float]],
) -> bool:
    """Return whether a line lies within the time span of its source."""
    if line.source not in spans:
        return False
    start_s, end_s = spans[line.source]
    return start_s <= line.at_s <= end_s


def summarize_line(line: LogLine) -> str:
    """Summarize the part of one VM in a sentence."""
    fields = line.fields
    if line.kind == REFUSED_KIND:
        return f'{line.source} did not admit it: {fields.get("detail")}.'
    elapsed = f'after {fields["took_s"]} s'
    attempts = [
        f'{destination} ({attempt_outcome})'
        for destination, attempt_outcome in zip_longest(
            list_destinations(fields),
            (attempt.rpartition(':')[2] for attempt in fields['attempts']),
            fillvalue='under way',
        )
    ]
    tried = f'tried {", then ".join(attempts)}' if attempts else 'tried nothing'
    return f'{line.source} {tried}; {describe_ending(fields)} {elapsed}.'


def list_destinations(fields: dict) -> list[str]:
    """Return the destinations that a request was sent to, in order."""
    destinations = [choice.partition(' of ')[0] for choice in fields['choices']]
    return [
        destination
        for destination in destinations
        if destination not in NO_DESTINATION
    ]


def describe_ending(fields: dict) -> str:
    """Describe how and why a request ended."""
    ending = fields['ending']
    reasons = '; '.join(fields['reasons'])
    last_choice = fields['choices'][-1] if fields['choices'] else ''
    if ending.startswith('refused overloaded'):
        best_candidate = last_choice.partition(' of ')[2].partition(' ')[0]
        return f'refused, not run: no room in time, at best {best_candidate}'
    if ending.startswith('refused no-upstream'):
        candidates = last_choice.partition(' of ')[2] or 'none'
        return (
            f'refused, not run: no upstream left of {candidates} '
            f'({reasons or "-"})'
        )
    if ending.startswith('refused deadline'):
        return (
            'time ran out with an attempt under way to '
            f'{pending_destination(fields)}'
        )
    if ending == 'broken off':
        return f'broken off within the answer ({reasons or "time ran out"})'
    if ending == 'caller gone':
        return 'the caller left'
    return f'{ending} ({reasons})' if reasons else ending


def pending_destination(fields: dict) -> str:
    """Return the destination of the attempt that has not ended."""
    unfinished = list_destinations(fields)[len(fields['attempts']) :]
    return unfinished[0] if unfinished else 'an upstream'
