"""A request that is suspected or quarantined, attempt by attempt."""

from types import SimpleNamespace

import pytest

from godwitshunt.exchange.problems import Outcome, ProblemKind
from godwitshunt.ingress.lifecycle import RequestLife
from godwitshunt.ingress.outcomes import (
    Again,
    BreakOff,
    Lost,
    NotRun,
    Progress,
    RefuseWith,
)
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
)
from godwitshunt.telemetry import Metrics

LETHAL = Fingerprint(bytes(16))
LENGTH_S = 100.0


class Life(RequestLife):
    """A request that no upstream is chosen for."""

    def __init__(self, ends: int, attempts: int = 3):
        self.now_s = 10.0
        self.quarantine = Quarantine(LENGTH_S, lambda: self.now_s, Metrics())
        for number in range(ends):
            self.lose(f'i-{number}')
        self.context = SimpleNamespace(
            quarantine=self.quarantine,
            metrics=Metrics(),
        )
        self.request = SimpleNamespace(
            http=SimpleNamespace(body=b'hello'),
            service=SimpleNamespace(name='llm'),
            fingerprint=LETHAL,
        )
        self.progress = Progress(repeatable=True, attempts=attempts)

    def lose(self, place):
        """Let an upstream end under the request, a second later."""
        self.now_s += 1
        loss = Loss(place, self.now_s, 0.1)
        self.quarantine.record_loss(LostRequest(LETHAL, '', 5, loss))


@pytest.mark.parametrize(
    ('ends', 'is_sent'),
    [(0, True), (1, True), (2, True), (3, False), (4, False)],
)
def test_caller_may_send_until_the_third_end(ends, is_sent):
    """A request that is refused too soon, or sent to a fourth upstream."""
    assert (Life(ends).quarantine_step() is None) is is_sent


def test_suspected_request_is_not_sent_again_by_this_system():
    """One attempt of a client that uses up three upstreams by itself."""
    life = Life(ends=1)
    life.lose('i-8')
    assert life.progress.take(Lost('ended'), remaining_s=3.0) == Again()
    step = life.quarantine_step()
    assert step.kind is ProblemKind.upstream_broken
    assert step.outcome is Outcome.unknown


@pytest.mark.parametrize(
    ('runs', 'begun', 'outcome'),
    [(0, False, 'not-run'), (1, False, 'unknown'), (1, True, None)],
)
def test_refusal_tells_what_ran(runs, begun, outcome):
    """*Not run*, told of a request that an upstream ended under just now."""
    life = Life(ends=3)
    for _ in range(runs):
        life.progress.take(Lost('ended'), remaining_s=3.0)
    life.progress.begun = begun
    step = life.quarantine_step()
    if outcome is None:
        assert step == BreakOff()
    else:
        assert step.outcome.value == outcome


def test_other_vm_that_keeps_it_back_has_the_last_word():
    """A request that is handed from region to region, and asked for anew."""
    progress = Progress(repeatable=True, attempts=3)
    refused = NotRun('vm: quarantined: lost to i-1', is_final=True)
    step = progress.take(refused, remaining_s=3.0)
    assert isinstance(step, RefuseWith)
    assert (step.kind, step.outcome) == (
        ProblemKind.quarantined,
        Outcome.not_run,
    )


def test_probe_is_sent_and_others_wait_for_it():
    """All repeats that come at the end of a quarantine, let through."""
    life = Life(ends=3)
    life.now_s += LENGTH_S
    assert life.quarantine_step() is None
    assert life.is_probe
    other = Life(ends=0)
    other.context.quarantine = life.quarantine
    other.request = life.request
    assert other.quarantine_step().kind is ProblemKind.quarantined
    assert life.quarantine_step() is None
    life.progress.take(Lost('ended'), remaining_s=3.0)
    assert life.quarantine_step().outcome is Outcome.unknown
