"""The promises of the product, checked against what ran and what came back."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import repeat

from demo.caller import STREAM_END, Answer
from standins.answers import answer_text, service_answer
from trials.callers import Attempt, Ending, Kind, Request

BOUND_CALLER = 'zagreb-records'
BOUND_REGION = 'zagreb'
MAX_TOKENS = 12


@dataclass
class Promise:
    """One promise, how often it was checked, and where it was broken."""

    text: str
    checks: int = 0
    violations: list[str] = field(default_factory=list)

    def check(self, *, kept: bool, what: str) -> None:
        """Count one check."""
        self.checks += 1
        if not kept:
            self.violations.append(what)


@dataclass(frozen=True)
class Ran:
    """Everything that the stand-ins ran.

    Parameters
    ----------
    keys : Counter
        Runs by idempotency key.
    calls : dict
        Regions by prompt or call, one entry a run.
    """

    keys: Counter
    calls: dict[str, list[str]]


def merge_runs(told: Iterable[dict]) -> Ran:
    """Add up the records of all stand-ins."""
    keys: Counter = Counter()
    calls: dict[str, list[str]] = {}
    for one in told:
        keys.update(one['runs'])
        for call, count in one['prompts'].items():
            regions = calls.setdefault(call, [])
            regions.extend(repeat(one['region'], count))
    return Ran(keys, calls)


def call_name(request: Request) -> str:
    """Return the name under which a stand-in records a request."""
    if request.kind in {Kind.chat, Kind.stream}:
        return f'user\n{request.prompt}\n'
    method = 'GET' if request.kind is Kind.look_up else 'POST'
    return f'{method} /certificates/{request.number}'


def is_right(request: Request, attempt: Attempt) -> bool:
    """Tell whether a whole answer is the one for its own request."""
    upstream = attempt.headers.get('godwitshunt-upstream', '')
    if request.kind in {Kind.chat, Kind.stream}:
        expected = answer_text(call_name(request), MAX_TOKENS)
        try:
            return chat_text(request, attempt) == expected
        except (LookupError, ValueError):
            # A part of an answer does not even read as JSON.
            return False
    method, _, target = call_name(request).partition(' ')
    expected = service_answer(method, target, request.body, upstream)
    return attempt.body == expected


def chat_text(request: Request, attempt: Attempt) -> str:
    """Return the text of a chat answer; of a stream only with its marker."""
    answer = Answer(attempt.status, attempt.headers, attempt.body)
    ended = attempt.body.rstrip().endswith(STREAM_END)
    if request.kind is Kind.stream and not ended:
        return 'no end marker'
    return answer.text


def check_promises(requests: list[Request], ran: Ran) -> list[Promise]:
    """Check every request against what ran."""
    residency = Promise('served only where residency allows')
    whole = Promise('a whole answer is exactly the one for its request')
    once = Promise('a non-idempotent request runs at most once')
    refusals = Promise('a refusal that says not run is true')
    loops = Promise('a request runs no more often than it was sent')
    for request in requests:
        regions = ran.calls.get(call_name(request), [])
        what = f'{request.number} {request.kind} {request.attempts}'
        if request.caller == BOUND_CALLER:
            residency.check(kept=set(regions) <= {BOUND_REGION}, what=what)
        for attempt in request.attempts:
            if attempt.ending is Ending.whole:
                whole.check(kept=is_right(request, attempt), what=what)
        if request.kind is Kind.filing:
            kept = len(regions) <= 1 and ran.keys[request.key] <= 1
            once.check(kept=kept, what=what)
        check_refusals(request, len(regions), refusals, what)
        # Each attempt may be tried on other upstreams, within the budget of
        # retries; a loop would run it without bound.
        bound = 3 * max(1, len(request.attempts))
        loops.check(kept=len(regions) <= bound, what=what)
    return [residency, whole, once, refusals, loops]


def check_refusals(
    request: Request,
    runs: int,
    refusals: Promise,
    what: str,
) -> None:
    """Check what *not run* said.

    For a key the word is about all attempts so far, so the last one's must
    hold for good; without a key each attempt speaks for itself only.
    """
    told = [attempt.ending is Ending.not_run for attempt in request.attempts]
    if not any(told):
        return
    if all(told) or (request.kind is Kind.filing and told[-1]):
        refusals.check(kept=runs == 0, what=what)
