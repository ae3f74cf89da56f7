"""What became of one request, and why; pure."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import zip_longest

from godwitshunt.tracing.lines import LogLine

ENDED = 'ingress:request_ended'
REFUSED = 'ingress:request_refused'
# What a process came to believe this long before a request's end, or after
# it, may be its cause.
AROUND_S = 5.0
# A choice that sent the request nowhere begins so.
NO_PLACES = frozenset(('overloaded', 'no upstream'))
# Lines that tell of lost and regained dependencies, and of who left.
CONTEXT = frozenset(
    (
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
    """One request's lines, in causal order.

    Parameters
    ----------
    lines : tuple of LogLine
        The VM that took the request first, then the one that it was handed
        over to.
    context : tuple of LogLine
        What the same processes came to believe around that time.
    sentence : str
        Why the request ended as it did.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    summary: str


def build_timeline(
    request: str, logs: Iterable[LogLine]
) -> RequestTimeline | None:
    """Return the story of a request; None where no line names it."""
    listed = list(logs)
    lines = sorted(
        (one for one in listed if is_of(one, request)),
        key=lambda one: (bool(one.fields.get('handed_over')), one.at_s),
    )
    if not lines:
        return None
    spans = {
        one.source: (
            one.at_s - one.fields.get('took_s', 0) - AROUND_S,
            one.at_s + AROUND_S,
        )
        for one in lines
    }
    context = sorted(
        (one for one in listed if one.kind in CONTEXT and is_near(one, spans)),
        key=lambda one: one.at_s,
    )
    return RequestTimeline(
        tuple(lines),
        tuple(context),
        ' '.join(explain(one) for one in lines),
    )


def is_of(line: LogLine, request: str) -> bool:
    """Tell whether a line is about the request's end."""
    if line.kind not in {ENDED, REFUSED}:
        return False
    return line.fields.get('request') == request


def is_near(
    line: LogLine,
    spans: dict[str, tuple[float, float]],
) -> bool:
    """Tell whether a line was written near the request, by its processes."""
    if line.source not in spans:
        return False
    start_s, end_s = spans[line.source]
    return start_s <= line.at_s <= end_s


def explain(line: LogLine) -> str:
    """Return one VM's part in a sentence."""
    told = line.fields
    if line.kind == REFUSED:
        return f'{line.source} did not admit it: {told.get("detail")}.'
    took = f'after {told["took_s"]} s'
    ways = [
        f'{place} ({became})'
        for place, became in zip_longest(
            places_of(told),
            (one.rpartition(':')[2] for one in told['attempts']),
            fillvalue='under way',
        )
    ]
    tried = f'tried {", then ".join(ways)}' if ways else 'tried nothing'
    return f'{line.source} {tried}; {reason_of(told)} {took}.'


def places_of(told: dict) -> list[str]:
    """Return where a request was sent, in order."""
    places = [choice.partition(' of ')[0] for choice in told['choices']]
    return [place for place in places if place not in NO_PLACES]


def reason_of(told: dict) -> str:
    """Return why a request ended as it did."""
    ending = told['ending']
    why = '; '.join(told['reasons'])
    last = told['choices'][-1] if told['choices'] else ''
    if ending.startswith('refused overloaded'):
        best = last.partition(' of ')[2].partition(' ')[0]
        return f'refused, not run: no room in time, at best {best}'
    if ending.startswith('refused no-upstream'):
        seen = last.partition(' of ')[2] or 'none'
        return f'refused, not run: no upstream left of {seen} ({why or "-"})'
    if ending.startswith('refused deadline'):
        return f'time ran out with an attempt under way to {under_way(told)}'
    if ending == 'broken off':
        return f'broken off within the answer ({why or "time ran out"})'
    if ending == 'caller gone':
        return 'the caller left'
    return f'{ending} ({why})' if why else ending


def under_way(told: dict) -> str:
    """Return the place of the attempt that had no end yet."""
    open_ones = places_of(told)[len(told['attempts']) :]
    return open_ones[0] if open_ones else 'an upstream'
