"""The life of a request: a table of events, and random lives."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.claims import messages as claims
from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.lifecycle import (
    CLAIM_POLL_S,
    CLAIM_POLLS,
    MAX_ATTEMPTS,
    advance,
)
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
)
from godwitshunt.exchange.states import (
    Phase,
    RequestFacts,
    RequestState,
    UnexpectedEventError,
)
from godwitshunt.membership.views import UpstreamView
from godwitshunt.routing.messages import (
    Forward,
    RefusalReason,
    Refuse,
    Serve,
    Wait,
)
from godwitshunt.settings import Address

PLACE = Address(host='127.0.0.1', port=1)
FIRST = Serve(
    UpstreamView('u1', 'kochi', 'chat', PLACE, 1, honours_resume=True)
)
SECOND = Serve(UpstreamView('u2', 'kochi', 'chat', PLACE, 1))
AWAY = Forward('kozhikode', 'z1', PLACE)
ANSWER = WholeAnswer(200, (), b'answer')
KEPT = claims.StoredAnswer(200, (), b'kept')
NOT_RUN = Problem(ProblemKind.overloaded, 'full', retry_after_s=3.0)

REPEATABLE = RequestFacts(repeatable=True)
ONCE = RequestFacts(repeatable=False)
CLAIMED = RequestFacts(repeatable=False, claimed=True)
FORWARDED = RequestFacts(repeatable=False, forwarded=True)

REFUSED = msg.AttemptFailed(sent=False, reason='refused')
RESET = msg.AttemptFailed(sent=True, reason='reset')
TO_FIRST = msg.Decided(FIRST)
TO_SECOND = msg.Decided(SECOND)
GRANTED = msg.ClaimSettled(claims.Granted(1))
ADMITTED = msg.Admitted()


def live(facts: RequestFacts, *events: msg.Event) -> tuple:
    """Return the state after all events and the actions of the last."""
    state = RequestState(facts)
    actions = ()
    for event in events:
        state, actions = advance(state, event)
    return state, actions


def told(actions: tuple) -> list[str]:
    """Return actions in short: names, with a refusal's kind and outcome."""
    shown = []
    for action in actions:
        text = type(action).__name__
        match action:
            case msg.RefuseWith(problem):
                text = f'{problem.kind.slug} {problem.outcome.value}'
            case msg.Dispatch(target, offset):
                name = getattr(target, 'vm', None) or target.upstream.name
                text = f'to {name} from {offset}'
            case msg.Choose(excluded, spend_retry):
                text = f'choose {sorted(excluded)} {spend_retry}'
        shown.append(text)
    return shown


def broke(delivered: int, begun: bool = True) -> msg.StreamBroke:
    """Return the break of a stream."""
    return msg.StreamBroke(delivered, begun, 'reset')


HEAD = msg.HeadArrived()
DEADLINE = msg.DeadlinePassed()
GONE = msg.CallerGone()
SENT = (ADMITTED, TO_FIRST)
RUNS = (ADMITTED, GRANTED, TO_FIRST)
TABLE = [
    (REPEATABLE, (ADMITTED,), ['choose [] False']),
    (REPEATABLE, SENT, ['to u1 from 0']),
    (REPEATABLE, (*SENT, msg.AnswerArrived(ANSWER)), ['SendWhole']),
    (REPEATABLE, (*SENT, REFUSED), ["choose ['u1'] False"]),
    (REPEATABLE, (*SENT, RESET), ["choose ['u1'] True"]),
    (
        REPEATABLE,
        (*SENT, RESET, msg.RetryDenied()),
        ['upstream-broken unknown'],
    ),
    (
        REPEATABLE,
        (*SENT, REFUSED, msg.Decided(Refuse(RefusalReason.no_upstream))),
        ['no-upstream not-run'],
    ),
    (
        REPEATABLE,
        (*SENT, RESET, msg.Decided(Refuse(RefusalReason.residency))),
        ['residency unknown'],
    ),
    (
        REPEATABLE,
        (ADMITTED, msg.Decided(Refuse(RefusalReason.isolated, 5.0))),
        ['isolated not-run'],
    ),
    (REPEATABLE, (ADMITTED, msg.Decided(Wait(0.1))), ['Pause']),
    (
        REPEATABLE,
        (ADMITTED, msg.Decided(Wait(0.1)), msg.PauseEnded()),
        ['choose [] False'],
    ),
    (REPEATABLE, (ADMITTED, DEADLINE), ['deadline not-run']),
    (REPEATABLE, (*SENT, DEADLINE), ['CancelAttempt', 'deadline unknown']),
    (REPEATABLE, (*SENT, GONE), ['CancelAttempt', 'BreakOff']),
    (REPEATABLE, (*SENT, HEAD), ['Relay']),
    (REPEATABLE, (*SENT, HEAD, msg.StreamEnded()), ['EndStream']),
    (
        REPEATABLE,
        (*SENT, HEAD, DEADLINE),
        ['CancelAttempt', 'deadline unknown'],
    ),
    (REPEATABLE, (*SENT, HEAD, broke(0, False)), ["choose ['u1'] True"]),
    (REPEATABLE, (*SENT, HEAD, broke(3)), ["choose ['u1'] True"]),
    (REPEATABLE, (*SENT, HEAD, broke(0)), ['BreakOff']),
    (ONCE, (*SENT, HEAD, broke(3)), ['BreakOff']),
    (
        REPEATABLE,
        (*SENT, HEAD, broke(3), msg.Decided(AWAY)),
        ['to z1 from 3'],
    ),
    (REPEATABLE, (*SENT, HEAD, broke(3), TO_SECOND), ['BreakOff']),
    (REPEATABLE, (*SENT, HEAD, broke(3), msg.RetryDenied()), ['BreakOff']),
    (
        REPEATABLE,
        (
            *SENT,
            HEAD,
            broke(3),
            msg.Decided(AWAY),
            msg.AnswerArrived(ANSWER),
        ),
        ['BreakOff'],
    ),
    (
        REPEATABLE,
        (ADMITTED, msg.Decided(AWAY), msg.NotRunTold(NOT_RUN)),
        ["choose ['z1'] True"],
    ),
    (
        REPEATABLE,
        (
            ADMITTED,
            msg.Decided(AWAY),
            msg.NotRunTold(NOT_RUN),
            msg.RetryDenied(),
        ),
        ['overloaded not-run'],
    ),
    (FORWARDED, (ADMITTED, msg.Decided(AWAY)), ['loop not-run']),
    (ONCE, (*SENT, REFUSED), ["choose ['u1'] False"]),
    (ONCE, (*SENT, RESET), ['upstream-broken unknown']),
    (CLAIMED, (ADMITTED,), ['Claim']),
    (CLAIMED, (ADMITTED, GRANTED), ['choose [] False']),
    (
        CLAIMED,
        (*RUNS, msg.AnswerArrived(ANSWER)),
        ['SendWhole', 'KeepAnswer'],
    ),
    (CLAIMED, (*RUNS, REFUSED), ["choose ['u1'] False"]),
    (CLAIMED, (*RUNS, RESET), ['upstream-broken unknown', 'AbandonClaim']),
    (
        CLAIMED,
        (*RUNS, DEADLINE),
        ['CancelAttempt', 'deadline unknown', 'AbandonClaim'],
    ),
    (CLAIMED, (*RUNS, GONE), []),
    (
        CLAIMED,
        (*RUNS, GONE, msg.AnswerArrived(ANSWER)),
        ['SendWhole', 'KeepAnswer'],
    ),
    (CLAIMED, (ADMITTED, GRANTED, GONE), ['ReleaseClaim', 'BreakOff']),
    (
        CLAIMED,
        (ADMITTED, GRANTED, DEADLINE),
        ['ReleaseClaim', 'deadline not-run'],
    ),
    (CLAIMED, (ADMITTED, DEADLINE), ['deadline unknown']),
    (
        CLAIMED,
        (ADMITTED, GRANTED, msg.Decided(Refuse(RefusalReason.overloaded, 2.0))),
        ['ReleaseClaim', 'overloaded not-run'],
    ),
    (
        CLAIMED,
        (
            ADMITTED,
            GRANTED,
            msg.Decided(AWAY),
            msg.NotRunTold(NOT_RUN),
            msg.RetryDenied(),
        ),
        ['ReleaseClaim', 'overloaded not-run'],
    ),
]


@pytest.mark.parametrize(('facts', 'events', 'expected'), TABLE)
def test_life_of_a_request(facts, events, expected):
    """Each row: what the request is, what happened, what is done at last."""
    assert told(live(facts, *events)[1]) == expected


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        (claims.AlreadyAnswered(KEPT), ['SendKept']),
        (claims.InProgress('k2'), ['Pause']),
        (claims.RunUnknown('lost'), ['run-unknown unknown']),
        (claims.KeyExpired(), ['key-expired unknown']),
        (claims.KeyMalformed(), ['key-malformed not-run']),
        (claims.KeyReused(), ['key-reused unknown']),
        (claims.NoMajority(1, 2), ['no-majority unknown']),
    ],
)
def test_without_a_grant_nothing_is_sent(outcome, expected):
    """Another VM may run the same key at this moment; a second run files twice.

    So without the holders' grant nothing goes out, and not-run is said only
    of a key that no VM can ever have accepted.
    """
    _, actions = live(CLAIMED, ADMITTED, msg.ClaimSettled(outcome))
    assert told(actions) == expected


def test_a_call_in_progress_is_asked_for_again_but_not_for_ever():
    """The VM that runs a key is slow; the resend is not held for ever."""
    waiting = msg.ClaimSettled(claims.InProgress('k2'))
    polls = (waiting, msg.PauseEnded()) * CLAIM_POLLS
    _, actions = live(CLAIMED, ADMITTED, *polls, waiting)
    assert told(actions) == ['in-progress unknown']


def test_attempts_end():
    """Every upstream fails; the caller is told instead of waiting on."""
    events = (TO_FIRST, RESET) * MAX_ATTEMPTS
    _, actions = live(REPEATABLE, ADMITTED, *events)
    assert told(actions) == ['upstream-broken unknown']


def test_events_after_the_end_do_nothing_and_others_are_faults():
    """A late answer changes nothing; a misplaced event is a fault of ours."""
    state, _ = live(REPEATABLE, *SENT, msg.AnswerArrived(ANSWER))
    assert advance(state, RESET) == (state, ())
    with pytest.raises(UnexpectedEventError):
        live(REPEATABLE, ADMITTED, HEAD)


EVENTS = {
    Phase.new: [ADMITTED],
    Phase.claiming: [
        GRANTED,
        msg.ClaimSettled(claims.InProgress('k2')),
        msg.ClaimSettled(claims.NoMajority(1, 2)),
        msg.ClaimSettled(claims.RunUnknown('lost')),
        DEADLINE,
        GONE,
    ],
    Phase.choosing: [
        TO_FIRST,
        TO_SECOND,
        msg.Decided(AWAY),
        msg.Decided(Refuse(RefusalReason.residency)),
        msg.RetryDenied(),
        DEADLINE,
        GONE,
    ],
    Phase.sending: [
        REFUSED,
        RESET,
        msg.NotRunTold(NOT_RUN),
        msg.AnswerArrived(ANSWER),
        HEAD,
        DEADLINE,
        GONE,
    ],
    Phase.relaying: [
        msg.StreamEnded(),
        broke(0, False),
        broke(0),
        broke(4),
        DEADLINE,
        GONE,
    ],
}
FACTS = [REPEATABLE, ONCE, CLAIMED, FORWARDED]


@settings(derandomize=True, max_examples=2000, deadline=None)
@given(facts=st.sampled_from(FACTS), picks=st.lists(st.integers(0, 9)))
def test_promises_hold_in_random_lives(facts, picks):
    """Failures come in any order, and one breaks a promise in some order.

    A call that may not be repeated would reach a second upstream, a refusal
    would say not-run of one that ran, or a caller would get two endings.
    """
    state = RequestState(facts)
    may_have_run = False
    endings = []
    actions = ()
    for pick in picks:
        choices = EVENTS.get(state.phase)
        if choices is None:
            break
        if msg.Pause(CLAIM_POLL_S) in actions:
            choices = [msg.PauseEnded()]
        event = choices[pick % len(choices)]
        may_have_run = may_have_run or reaches_upstream(state.phase, event)
        state, actions = advance(state, event)
        for action in actions:
            check_action(action, facts, may_have_run, endings)
    assert len(endings) <= 1


def reaches_upstream(phase: Phase, event: msg.Event) -> bool:
    """Tell whether an event means that an upstream may have run the call."""
    if event is DEADLINE:
        return phase is Phase.sending
    return event in {RESET, HEAD, msg.AnswerArrived(ANSWER)}


ENDINGS = (
    msg.SendWhole,
    msg.SendKept,
    msg.RefuseWith,
    msg.EndStream,
    msg.BreakOff,
)


def check_action(action, facts, may_have_run, endings) -> None:
    """Check one action against what happened before."""
    if isinstance(action, ENDINGS):
        endings.append(action)
    match action:
        case msg.Dispatch():
            assert facts.repeatable or not may_have_run
        case msg.ReleaseClaim():
            assert not may_have_run
        case msg.RefuseWith(Problem(outcome=Outcome.not_run)):
            assert not may_have_run
