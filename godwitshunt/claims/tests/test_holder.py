"""Named schedules over holders: each forgets, delays or doubles something."""

import pytest

from godwitshunt.claims.claimant import Run, decide_claim, decide_wait
from godwitshunt.claims.holder import Holder
from godwitshunt.claims.keys import parse_key
from godwitshunt.claims.messages import RunUnknown, StoredAnswer
from godwitshunt.claims.records import MAX_ANSWER_BYTES, MAX_CLAIMS
from godwitshunt.claims.recovery import (
    NotYet,
    Recovered,
    Recovery,
    TellIncarnation,
)
from godwitshunt.claims.standing import Standing
from godwitshunt.claims.tests.machine import (
    ANSWER,
    ClaimMachine,
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
    ('before', 'asked', 'verdict'),
    [
        pytest.param([], Claim(A), Verdict.granted, id='first'),
        pytest.param([Claim(A)], Claim(A), Verdict.granted, id='doubled'),
        pytest.param([Claim(A)], Claim(B), Verdict.held, id='rival'),
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
            [Release(A)], Claim(A), Verdict.abstained, id='overtaken-claim'
        ),
        pytest.param(
            [Claim(A), Release(B)], Query(B), Verdict.held, id='foreign-release'
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
            id='finish-beats-a-losing-vote',
        ),
        pytest.param(
            [Claim(A), Finish(A, ANSWER), Release(A)],
            Claim(B),
            Verdict.answered,
            id='late-release-after-the-run',
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
def test_what_a_holder_answers(before, asked, verdict):
    """Messages come late, twice, in another order, or from a rival.

    A wrong verdict here runs a call twice, hands one caller's answer to
    another, or blocks a key for ever.
    """
    holder = Holder('h0')
    for earlier in before:
        holder.apply(earlier, 0, 0.0)
    assert holder.apply(asked, 0, 0.0).verdict is verdict


@pytest.mark.parametrize(
    ('state', 'verdict'),
    [
        ({'recovering': True}, Verdict.abstained),
        ({'epoch': 2, 'floor': 1}, Verdict.expired),
        ({'epoch': 1, 'floor': 0}, Verdict.granted),
    ],
)
def test_a_holder_grants_only_where_it_remembers(state, verdict):
    """A key is old, or the holder has forgotten."""
    assert Holder('h0', **state).apply(Claim(A), 0, 0.0).verdict is verdict


def test_a_made_up_epoch_is_not_granted_and_moves_nothing():
    """A caller writes a far epoch into its key."""
    holder = Holder('h0')
    key = parse_key('split.1.99.caller-1').unwrap()
    ahead = holder.apply(Claim(Attempt(key, b'', 'vm', 1)), 0, 0.0)
    assert ahead.verdict is Verdict.abstained
    assert holder.epoch == 0


def test_a_full_holder_abstains_for_new_keys_and_forgets_none():
    """More keys are claimed in an epoch than a holder may keep."""
    holder = Holder('h0')
    holder.apply(Claim(A), 0, 0.0)
    holder.store.count = MAX_CLAIMS
    key = parse_key('split.1.0.caller-2').unwrap()
    more = holder.apply(Claim(Attempt(key, b'', 'vm', 1)), 0, 0.0)
    assert more.verdict is Verdict.abstained
    assert holder.apply(Claim(B), 0, 0.0).verdict is Verdict.held


def vote(**known: int) -> HolderAnswer:
    """Return a vote whose holder knows these incarnations."""
    return HolderAnswer(Verdict.granted, Standing(known=known))


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
def test_votes_count_only_within_present_lives(answers, runs):
    """A holder voted, restarted without its vote, and another knows it."""
    assert isinstance(decide_claim(1, 3, answers, 0), Run) is runs


@pytest.mark.parametrize('count', [2, 3, 4, 5])
def test_waiting_for_a_rival_never_runs(count):
    """Every holder says that the key is free again: claim it, don't run."""
    free = HolderAnswer(Verdict.free, Standing())
    answers = {f'h{number}': free for number in range(count)}
    assert not isinstance(decide_wait(count, answers), Run)


def test_a_late_vote_does_not_join_one_from_a_past_life():
    """One holder is an epoch ahead, votes, dies, and recovers below the key.

    The other holder's vote for the same attempt was under way meanwhile. If
    both counted, a resend could win the restarted holder and the third one.
    """
    machine = ClaimMachine(3, frozenset())
    machine.pass_epoch(('h0',))
    machine.stamp(1)
    machine.begin(machine.keys[0], 1, b'a')
    late = take(machine, ToHolder, 'h1')
    deliver(machine, ToHolder, 'h0')
    deliver(machine, ToClaimant, 'h0')
    machine.restart('h0')
    machine.ask_peers('h0')
    for kind in (ToPeer, FromPeer, ToPeer, FromPeer):
        for name in machine.names:
            deliver(machine, kind, name)
    assert not machine.holders['h0'].recovering
    machine.deliver(late)
    deliver(machine, ToClaimant, 'h1')
    assert machine.trials[0].state == 'claiming'
    machine.begin(machine.keys[0], 2, b'a')
    for kind in (ToHolder, ToClaimant):
        for name in ('h0', 'h2'):
            deliver(machine, kind, name, trial=1)
    assert machine.trials[1].state == 'granted'


def deliver(machine: ClaimMachine, kind: type, name: str, trial=0) -> None:
    """Deliver every message of a kind that concerns a holder."""
    for message in tuple(machine.bag):
        if not isinstance(message, kind) or message.holder != name:
            continue
        if getattr(message, 'trial', trial) == trial:
            machine.bag.remove(message)
            machine.deliver(message)


def take(machine: ClaimMachine, kind: type, name: str):
    """Take a message out of the bag."""
    message = next(
        one
        for one in machine.bag
        if isinstance(one, kind) and one.holder == name
    )
    machine.bag.remove(message)
    return message


@pytest.mark.parametrize(
    ('count', 'epochs', 'floor'),
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
def test_recovery_needs_enough_others_and_goes_above_them(
    count,
    epochs,
    floor,
):
    """A holder without a disk restarts while others are gone, too."""
    names = tuple(f'h{number}' for number in range(count))
    recovery = Recovery('h0', names)
    replies = {
        f'h{number}': Standing(epoch=epoch)
        for number, epoch in enumerate(epochs, start=1)
    }
    recovery.take_round(replies)
    step = recovery.take_round(replies)
    if floor is None:
        assert isinstance(step, NotYet)
    else:
        assert step == Recovered(1, dict.fromkeys(replies, 0), floor)


def test_recovery_takes_an_incarnation_that_no_life_had():
    """A holder restarts for the third time; one fellow missed the second.

    Under an old number its new votes would pass for forgotten ones.
    """
    recovery = Recovery('h0', ('h0', 'h1', 'h2'))
    heard = {'h1': Standing(known={'h0': 2}), 'h2': Standing(known={'h0': 1})}
    assert recovery.take_round(heard) == TellIncarnation(3)


def test_recovery_does_not_count_a_fellow_that_forgot_meanwhile():
    """Two holders restart at once; the one's reply is from before."""
    recovery = Recovery('h0', ('h0', 'h1', 'h2'))
    before = {'h1': Standing(epoch=3), 'h2': Standing(epoch=3)}
    recovery.take_round(before)
    mixed = {'h1': Standing(epoch=3), 'h2': Standing(0, {'h1': 1}, 3)}
    assert isinstance(recovery.take_round(mixed), NotYet)
