"""The life of a request, as a pure state machine.

`advance` takes a state and an event to the next state and the actions that a
task has to carry out. Time enters only as events.

The promises that are kept here: a call that may not be repeated is sent once;
a refusal says *not run* only where no attempt under the key can have reached
an upstream; what the caller was sent is never sent again; a broken stream is
continued where it broke or ends visibly broken.
"""

from dataclasses import replace

from godwitshunt.claims.messages import (
    AlreadyAnswered,
    ClaimOutcome,
    Granted,
    InProgress,
    KeyExpired,
    KeyMalformed,
    KeyReused,
    NoMajority,
    RunUnknown,
)
from godwitshunt.exchange import messages as msg
from godwitshunt.exchange.problems import Outcome, Problem, ProblemKind
from godwitshunt.exchange.states import (
    Phase,
    RequestState,
    UnexpectedEventError,
)
from godwitshunt.routing.messages import (
    Decision,
    Forward,
    RefusalReason,
    Refuse,
    Serve,
    Wait,
)

MAX_ATTEMPTS = 4
CLAIM_POLL_S = 0.25
CLAIM_POLLS = 20
RETRY_AFTER_S = 1.0

Step = tuple[RequestState, tuple[msg.Action, ...]]


def advance(state: RequestState, event: msg.Event) -> Step:
    """Return the next state and what is to be done.

    Examples
    --------
    >>> from godwitshunt.exchange.states import RequestFacts
    >>> state = RequestState(RequestFacts(repeatable=True))
    >>> state, actions = advance(state, msg.Admitted())
    >>> actions
    (Choose(excluded=frozenset(), spend_retry=False),)
    """
    match state.phase, event:
        case Phase.ended, _:
            return state, ()
        case _, msg.DeadlinePassed():
            return pass_deadline(state)
        case _, msg.CallerGone():
            return lose_caller(state)
    return listeners[state.phase](state, event)


def admit(state: RequestState, event: msg.Event) -> Step:
    """Start with the claim where one is needed."""
    if not isinstance(event, msg.Admitted):
        raise UnexpectedEventError(state.phase, event)
    if state.facts.claimed:
        return replace(state, phase=Phase.claiming), (msg.Claim(),)
    return choose(state, spend_retry=False)


def hear_holders(state: RequestState, event: msg.Event) -> Step:
    """Go on as the claim holders answered, or ask them again."""
    match event:
        case msg.ClaimSettled(outcome):
            return settle_claim(state, outcome)
        case msg.PauseEnded():
            return state, (msg.Claim(),)
    raise UnexpectedEventError(state.phase, event)


def hear_routing(state: RequestState, event: msg.Event) -> Step:
    """Go on as the routing decision says."""
    match event:
        case msg.Decided(decision):
            return follow(state, decision)
        case msg.PauseEnded():
            return choose(state, spend_retry=False)
        case msg.RetryDenied():
            return give_up_attempts(state)
    raise UnexpectedEventError(state.phase, event)


def choose(state: RequestState, *, spend_retry: bool) -> Step:
    """Ask for a routing decision."""
    action = msg.Choose(state.excluded, spend_retry)
    return replace(state, phase=Phase.choosing), (action,)


def settle_claim(state: RequestState, outcome: ClaimOutcome) -> Step:
    """Go on with a grant; refuse or wait without one.

    Only the holders' grant proves that nothing ran under the key before; every
    other answer leaves it unknown, but for a key that no VM can ever accept.
    """
    match outcome:
        case Granted():
            return choose(replace(state, holds_claim=True), spend_retry=False)
        case AlreadyAnswered(answer):
            return end(state, msg.SendKept(answer))
        case InProgress(unresponsive=False) if state.polls < CLAIM_POLLS:
            waiting = replace(state, polls=state.polls + 1)
            return waiting, (msg.Pause(CLAIM_POLL_S),)
        case KeyMalformed():
            problem = Problem(
                ProblemKind.key_malformed,
                'take a stamp from GET /v1/entries',
                Outcome.not_run,
            )
            return end(state, msg.RefuseWith(problem))
    return end(state, msg.RefuseWith(claim_problem(outcome)))


def claim_problem(outcome: ClaimOutcome) -> Problem:
    """Return the refusal of a call whose claim was not granted."""
    match outcome:
        case InProgress(vm):
            return unknown(ProblemKind.in_progress, vm, RETRY_AFTER_S)
        case RunUnknown(reason):
            return unknown(ProblemKind.run_unknown, reason)
        case KeyExpired():
            return unknown(ProblemKind.key_expired, 'its epoch is over')
        case KeyReused():
            return unknown(ProblemKind.key_reused, 'make a key for each call')
        case NoMajority(answered, needed):
            told = f'{answered} of {needed} needed'
            return unknown(ProblemKind.no_majority, told, RETRY_AFTER_S)
    raise UnexpectedEventError(Phase.claiming, msg.ClaimSettled(outcome))


def unknown(
    kind: ProblemKind,
    detail: str,
    retry_after_s: float | None = None,
) -> Problem:
    """Return a refusal that leaves open whether the call ran."""
    return Problem(kind, detail, Outcome.unknown, retry_after_s)


def follow(state: RequestState, decision: Decision) -> Step:
    """Do as the routing decision says."""
    match decision:
        case Wait(delay_s):
            return state, (msg.Pause(delay_s),)
        case Refuse(RefusalReason.no_upstream) if state.last_problem:
            return give_up(state, state.last_problem)
        case Refuse(reason, retry_after_s):
            problem = Problem(
                refusal_kind(reason),
                'the routing decision',
                retry_after_s=retry_after_s,
            )
            return give_up(state, problem)
        case Forward() if state.facts.forwarded:
            # One hop at most: a second one could lead back to the first VM.
            return give_up(state, Problem(ProblemKind.loop, 'second hop'))
        case Serve(upstream) if cannot_resume(state, upstream.honours_resume):
            broken = Problem(ProblemKind.upstream_broken, 'cannot be resumed')
            return give_up(state, broken)
    sending = replace(
        state,
        phase=Phase.sending,
        target=decision,
        attempts=state.attempts + 1,
    )
    return sending, (msg.Dispatch(decision, state.delivered),)


def cannot_resume(state: RequestState, honours_resume: bool) -> bool:
    """Tell whether the caller has a part that this engine cannot go on from."""
    return state.delivered > 0 and not honours_resume


def refusal_kind(reason: RefusalReason) -> ProblemKind:
    """Return the problem type of a routing refusal."""
    return ProblemKind[reason.name]


def hear_upstream(state: RequestState, event: msg.Event) -> Step:
    """Go on after what came of an attempt before its answer began."""
    match event:
        case msg.AttemptFailed(sent=False, reason=reason):
            failed = exclude(state, unreachable(reason))
            return try_again(failed, spend_retry=False)
        case msg.AttemptFailed(reason=reason):
            problem = Problem(ProblemKind.upstream_broken, reason)
            failed = exclude(replace(state, may_have_run=True), problem)
            if state.facts.repeatable:
                return try_again(failed, spend_retry=True)
            return give_up(failed, problem)
        case msg.NotRunTold(problem):
            return try_again(exclude(state, problem), spend_retry=True)
        case msg.AnswerArrived(answer) if state.begun:
            # A whole answer where a stream was to go on fits nowhere.
            return end(state, msg.BreakOff())
        case msg.AnswerArrived(answer):
            return finish(state, answer)
        case msg.HeadArrived():
            relaying = replace(
                state,
                phase=Phase.relaying,
                may_have_run=True,
            )
            return relaying, (msg.Relay(),)
    raise UnexpectedEventError(state.phase, event)


def unreachable(reason: str) -> Problem:
    """Return the refusal where no connection came about."""
    return Problem(
        ProblemKind.no_upstream,
        reason,
        retry_after_s=RETRY_AFTER_S,
    )


def hear_stream(state: RequestState, event: msg.Event) -> Step:
    """Go on after the end of a stream, be it clean or not."""
    match event:
        case msg.StreamEnded():
            return end(state, msg.EndStream())
        case msg.StreamBroke(delivered, begun, reason):
            broken = replace(state, delivered=delivered, begun=begun)
            problem = Problem(ProblemKind.upstream_broken, reason)
            if state.facts.repeatable and not lost_place(broken):
                failed = exclude(broken, problem)
                return try_again(failed, spend_retry=True)
            return give_up(broken, problem)
    raise UnexpectedEventError(state.phase, event)


def lost_place(state: RequestState) -> bool:
    """Tell whether the head went out but no event to resume after."""
    return state.begun and not state.delivered


def exclude(state: RequestState, problem: Problem) -> RequestState:
    """Never choose the present target again for this request."""
    match state.target:
        case Serve(upstream):
            name = upstream.name
        case Forward(vm=vm):
            name = vm
        case None:
            name = ''
    return replace(
        state,
        excluded=state.excluded | {name},
        last_problem=problem,
    )


def try_again(state: RequestState, *, spend_retry: bool) -> Step:
    """Choose once more, unless there were attempts enough."""
    if state.attempts >= MAX_ATTEMPTS:
        return give_up_attempts(state)
    return choose(state, spend_retry=spend_retry)


def give_up_attempts(state: RequestState) -> Step:
    """Refuse with what the last attempt failed of."""
    fallback = Problem(ProblemKind.upstream_broken, 'no attempt is left')
    return give_up(state, state.last_problem or fallback)


def give_up(state: RequestState, problem: Problem) -> Step:
    """Refuse at once, or break off where the answer has begun.

    The claim is released before *not run* is said: the caller may resend at
    once, and another VM must then be able to claim the key.
    """
    if state.begun:
        return end(state, msg.BreakOff())
    proven = not state.may_have_run
    if state.facts.claimed and not state.holds_claim:
        proven = False
    outcome = Outcome.not_run if proven else Outcome.unknown
    refusal = msg.RefuseWith(replace(problem, outcome=outcome))
    if not state.holds_claim:
        return end(state, refusal)
    if proven:
        return end(state, msg.ReleaseClaim(), refusal)
    return end(state, refusal, msg.AbandonClaim())


def finish(state: RequestState, answer: msg.WholeAnswer) -> Step:
    """Send the whole answer, and have it kept where it was claimed."""
    if state.holds_claim:
        return end(state, msg.SendWhole(answer), msg.KeepAnswer(answer))
    return end(state, msg.SendWhole(answer))


def pass_deadline(state: RequestState) -> Step:
    """Give up; an attempt under way may run on, so its outcome is unknown."""
    problem = Problem(
        ProblemKind.deadline,
        'the deadline passed',
        retry_after_s=RETRY_AFTER_S,
    )
    if state.phase not in {Phase.sending, Phase.relaying}:
        return give_up(state, problem)
    ended, actions = give_up(replace(state, may_have_run=True), problem)
    return ended, (msg.CancelAttempt(), *actions)


def lose_caller(state: RequestState) -> Step:
    """Stop work that nobody waits for.

    A claimed call that was sent goes on, since it cannot be undone: its
    answer is kept for the caller's resend.
    """
    if state.phase in {Phase.sending, Phase.relaying}:
        if state.holds_claim:
            return state, ()
        return end(state, msg.CancelAttempt(), msg.BreakOff())
    if not state.holds_claim:
        return end(state, msg.BreakOff())
    if state.may_have_run:
        return end(state, msg.AbandonClaim(), msg.BreakOff())
    return end(state, msg.ReleaseClaim(), msg.BreakOff())


def end(state: RequestState, *actions: msg.Action) -> Step:
    """Return the last state with its last actions."""
    return replace(state, phase=Phase.ended), actions


listeners = {
    Phase.new: admit,
    Phase.claiming: hear_holders,
    Phase.choosing: hear_routing,
    Phase.sending: hear_upstream,
    Phase.relaying: hear_stream,
}
