"""Single schedules over holders with lost, late or duplicate messages."""

import pytest

from godwitshunt.claims.claimant import Run, next_voting_step, next_waiting_step
from godwitshunt.claims.holder import Holder
from godwitshunt.claims.holder_status import HolderStatus
from godwitshunt.claims.keys import parse_key
from godwitshunt.claims.messages import RunUnknown, StoredAnswer
from godwitshunt.claims.records import MAX_ANSWER_BYTES, MAX_CLAIMS
from godwitshunt.claims.recovery import (
    AnnounceIncarnation,
    Recovered,
    Recovery,
    RecoveryPending,
)
from godwitshunt.claims.tests.simulation import (
    ANSWER,
    ClaimSimulation,
    FromPeer,
    ToClaimant,
    ToHolder,
    ToPeer,
)
from godwitshunt.claims.verdicts import (
    Attempt,
    Claim,
    Finish,
    HolderAnswer,
    Query,
    Release,
    Verdict,
)

KEY = parse_key('split.1.0.caller-1').unwrap()


def attempt(number: int, body: bytes = b'a') -> Attempt:
    """Return an attempt on the key above."""
    return Attempt(KEY, body, f'vm-{number}', number)


A, B, C = attempt(1), attempt(2), attempt(3, b'other')


@pytest.mark.parametrize(
    ('earlier', 'latest', 'verdict'),
    [
        pytest.param([], Claim(A), Verdict.granted, id='first'),
        pytest.param([Claim(A)], Claim(A), Verdict.granted, id='duplicate'),
        pytest.param([Claim(A)], Claim(B), Verdict.held, id='competing'),
        pytest.param([Claim(A)], Claim(C), Verdict.reused, id='other-body'),
        pytest.param([Claim(A)], Query(B), Verdict.held, id='query'),
        pytest.param([], Query(B), Verdict.free, id='query-free'),
        pytest.param(
            [Query(B)], Claim(A), Verdict.granted, id='query-records-nothing'
        ),
        pytest.param(
            [Claim(A), Release(A)], Claim(B), Verdict.granted, id='released'
        ),
        pytest.param(
            [Claim(A), Release(B)], Claim(B), Verdict.abstained, id='withdrawn'
        ),
        pytest.param(
            [Release(A)], Claim(A), Verdict.abstained, id='claim-after-release'
        ),
        pytest.param(
            [Claim(A), Release(B)],
            Query(B),
            Verdict.held,
            id='release-of-another-attempt',
        ),
        pytest.param(
            [Claim(A), Finish(A, ANSWER)],
            Claim(B),
            Verdict.answered,
            id='answered',
        ),
        pytest.param(
            [Claim(A), Finish(A, ANSWER)],
            Claim(C),
            Verdict.reused,
            id='answer-of-another-body',
        ),
        pytest.param(
            [Claim(A), Finish(A, RunUnknown('broken'))],
            Claim(B),
            Verdict.unknown,
            id='no-answer',
        ),
        pytest.param(
            [Claim(A), Finish(B, ANSWER)],
            Query(A),
            Verdict.answered,
            id='finish-replaces-a-minority-vote',
        ),
        pytest.param(
            [Claim(A), Finish(A, ANSWER), Release(A)],
            Claim(B),
            Verdict.answered,
            id='late-release-after-finish',
        ),
        pytest.param(
            [Finish(A, ANSWER), Finish(A, RunUnknown('late'))],
            Query(A),
            Verdict.answered,
            id='second-finish',
        ),
        pytest.param(
            [Finish(A, StoredAnswer(200, (), bytes(MAX_ANSWER_BYTES + 1)))],
            Query(A),
            Verdict.unknown,
            id='too-large',
        ),
    ],
)
def test_holder_verdicts(earlier, latest, verdict):
    """Requests arrive late, twice, reordered, or from a competing attempt.

    A wrong verdict would run a call twice, return one caller's answer to
    another, or block a key permanently.
    """
    holder = Holder('h0')
    for request in earlier:
        holder.apply(request, 0, 0.0)
    assert holder.apply(latest, 0, 0.0).verdict is verdict


@pytest.mark.parametrize(
    ('state', 'verdict'),
    [
        ({'recovering': True}, Verdict.abstained),
        ({'epoch': 2, 'floor_epoch': 1}, Verdict.expired),
        ({'epoch': 1, 'floor_epoch': 0}, Verdict.granted),
    ],
)
def test_holder_grants_only_within_its_retained_epochs(state, verdict):
    """The key is older than the floor epoch, or the holder is recovering."""
    assert Holder('h0', **state).apply(Claim(A), 0, 0.0).verdict is verdict


def test_forged_epoch_is_not_granted_and_does_not_advance_the_holder():
    """A caller forges a key with a far future epoch."""
    holder = Holder('h0')
    key = parse_key('split.1.99.caller-1').unwrap()
    answer = holder.apply(Claim(Attempt(key, b'', 'vm', 1)), 0, 0.0)
    assert answer.verdict is Verdict.abstained
    assert holder.epoch == 0


def test_full_holder_abstains_for_new_keys_and_retains_the_others():
    """More keys are claimed in an epoch than a holder can store."""
    holder = Holder('h0')
    holder.apply(Claim(A), 0, 0.0)
    holder.store.count = MAX_CLAIMS
    key = parse_key('split.1.0.caller-2').unwrap()
    answer = holder.apply(Claim(Attempt(key, b'', 'vm', 1)), 0, 0.0)
    assert answer.verdict is Verdict.abstained
    assert holder.apply(Claim(B), 0, 0.0).verdict is Verdict.held


def vote(**known_incarnations: int) -> HolderAnswer:
    """Return a vote of a holder that knows these incarnations of peers."""
    return HolderAnswer(
        Verdict.granted, HolderStatus(known_incarnations=known_incarnations)
    )


@pytest.mark.parametrize(
    ('answers', 'runs'),
    [
        ({'h0': vote(), 'h1': vote()}, True),
        ({'h0': vote()}, False),
        ({'h0': vote(), 'h1': vote(h0=1)}, False),
        ({'h0': vote(), 'h1': vote(h0=1), 'h2': vote()}, True),
        ({'h0': vote(h1=1), 'h1': vote(h0=1)}, False),
    ],
)
def test_only_votes_of_current_incarnations_count(answers, runs):
    """A holder lost its vote in a restart that another holder knows of."""
    assert isinstance(next_voting_step(1, 3, answers, 0), Run) is runs


@pytest.mark.parametrize('count', [2, 3, 4, 5])
def test_waiting_claim_never_runs_without_a_new_attempt(count):
    """Every holder reports the key as free: a new attempt is needed."""
    free = HolderAnswer(Verdict.free, HolderStatus())
    answers = {f'h{number}': free for number in range(count)}
    assert not isinstance(next_waiting_step(count, answers), Run)


def test_late_vote_does_not_count_with_one_of_a_superseded_incarnation():
    """A holder votes, restarts, and recovers at an epoch below the key's.

    Meanwhile another holder's vote for the same attempt is still in flight.
    If both votes counted, the attempt would run although a resend can get the
    votes of the restarted holder and the third one.
    """
    simulation = ClaimSimulation(3, frozenset())
    simulation.pass_epoch(('h0',))
    simulation.add_key(1)
    simulation.start_attempt(simulation.keys[0], 1, b'a')
    late_claim = pop_message(simulation, ToHolder, 'h1')
    deliver(simulation, ToHolder, 'h0')
    deliver(simulation, ToClaimant, 'h0')
    simulation.restart('h0')
    simulation.start_recovery('h0')
    for kind in (ToPeer, FromPeer, ToPeer, FromPeer):
        for name in simulation.names:
            deliver(simulation, kind, name)
    assert not simulation.holders['h0'].recovering
    simulation.deliver(late_claim)
    deliver(simulation, ToClaimant, 'h1')
    assert simulation.attempts[0].state == 'claiming'
    simulation.start_attempt(simulation.keys[0], 2, b'a')
    for kind in (ToHolder, ToClaimant):
        for name in ('h0', 'h2'):
            deliver(simulation, kind, name, attempt_index=1)
    assert simulation.attempts[1].state == 'granted'


def deliver(
    simulation: ClaimSimulation, kind: type, name: str, attempt_index=0
) -> None:
    """Deliver every message of a kind to or from a holder."""
    for message in tuple(simulation.in_flight):
        if not isinstance(message, kind) or message.holder != name:
            continue
        if getattr(message, 'attempt_index', attempt_index) == attempt_index:
            simulation.in_flight.remove(message)
            simulation.deliver(message)


def pop_message(simulation: ClaimSimulation, kind: type, name: str):
    """Remove and return the first message of a kind to or from a holder."""
    message = next(
        candidate
        for candidate in simulation.in_flight
        if isinstance(candidate, kind) and candidate.holder == name
    )
    simulation.in_flight.remove(message)
    return message


@pytest.mark.parametrize(
    ('count', 'epochs', 'floor_epoch'),
    [
        (1, [], None),
        (2, [4], 5),
        (3, [4], None),
        (3, [4, 7], 8),
        (4, [1, 9], 10),
        (5, [1, 2], None),
        (5, [1, 2, 3], 4),
    ],
)
def test_recovery_needs_a_quorum_and_raises_the_floor_above_it(
    count,
    epochs,
    floor_epoch,
):
    """A holder without a disk restarts while other holders are down."""
    names = tuple(f'h{number}' for number in range(count))
    recovery = Recovery('h0', names)
    replies = {
        f'h{number}': HolderStatus(epoch=epoch)
        for number, epoch in enumerate(epochs, start=1)
    }
    recovery.process_replies(replies)
    step = recovery.process_replies(replies)
    if floor_epoch is None:
        assert isinstance(step, RecoveryPending)
    else:
        assert step == Recovered(1, dict.fromkeys(replies, 0), floor_epoch)


def test_recovery_adopts_an_unused_incarnation():
    """A holder restarts for the third time; one peer missed the second.

    With a reused incarnation, its lost votes would count with its new ones.
    """
    recovery = Recovery('h0', ('h0', 'h1', 'h2'))
    replies = {
        'h1': HolderStatus(known_incarnations={'h0': 2}),
        'h2': HolderStatus(known_incarnations={'h0': 1}),
    }
    assert recovery.process_replies(replies) == AnnounceIncarnation(3)


def test_recovery_ignores_the_reply_of_a_peer_that_restarted_since():
    """Two holders restart at once; one reply predates its sender's restart."""
    recovery = Recovery('h0', ('h0', 'h1', 'h2'))
    first = {'h1': HolderStatus(epoch=3), 'h2': HolderStatus(epoch=3)}
    recovery.process_replies(first)
    second = {'h1': HolderStatus(epoch=3), 'h2': HolderStatus(0, {'h1': 1}, 3)}
    assert isinstance(recovery.process_replies(second), RecoveryPending)
