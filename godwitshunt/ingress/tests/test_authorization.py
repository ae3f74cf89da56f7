"""Keys that are added and taken away while requests come, wait and hop."""

from dataclasses import dataclass, field, replace
from random import Random

import pytest
from result import Err, Ok

from godwitshunt.configuration.revision import Revision
from godwitshunt.exchange.problems import Outcome, ProblemKind
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.admission import Admission
from godwitshunt.ingress.authorization import Authorizer
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.manifest import Organisation
from godwitshunt.organisations import FreshnessRule, key_digest
from godwitshunt.organisations.tests.test_keys import (
    ROUTE,
    manifest,
    organisation,
)

REVOKE_S = 5.0
WARDS = organisation('wards', b'k-1')
OTHERS = organisation('others', b'k-2')


def active_revision(*organisations: Organisation) -> ActiveRevision:
    """Return a revision with organisations, in force."""
    made = Revision(1, 'digest', manifest(*organisations))
    return ActiveRevision.from_revision(made)


@dataclass
class Vm:
    """What a VM knows; news comes when it asks."""

    known: ActiveRevision
    news: ActiveRevision | None = None
    now_s: float = 100.0
    proof_s: float = 99.5
    is_warming_up: bool = False
    asked: int = 0
    authorizer: Authorizer = field(init=False)

    def __post_init__(self) -> None:
        self.authorizer = Authorizer(
            FreshnessRule(REVOKE_S),
            lambda: self.now_s,
            lambda: self.now_s - self.proof_s,
            self.ask,
        )
        self.admission = Admission(
            HeaderNames(),
            lambda: self.known,
            self.authorizer,
            Random(1),
            lambda: self.is_warming_up,
        )

    async def ask(self) -> None:
        """Ask control, which answers with what is newest."""
        self.asked += 1
        if self.news is not None:
            self.known = self.news
            self.proof_s = self.now_s

    async def admit(self, key: bytes = b'k-1'):
        """Admit a request with a key."""
        headers = ((b'host', b'a.example'), (HeaderNames().key, key))
        http = HttpRequest('GET', '/x', '', headers, b'')
        return await self.admission.admit(http, self.now_s)


@pytest.fixture(autouse=True)
def _no_wait(monkeypatch):
    monkeypatch.setattr('godwitshunt.ingress.admission.KEY_WAIT_S', 0.05)
    monkeypatch.setattr('godwitshunt.ingress.admission.KEY_ASK_PERIOD_S', 0.01)


async def test_a_known_key_needs_no_question():
    """In calm no request waits for control."""
    vm = Vm(active_revision(WARDS))
    found = await vm.admit()
    assert isinstance(found, Ok)
    assert found.ok_value.organisation == WARDS
    assert found.ok_value.key_sha256 == key_digest(b'k-1')
    assert not vm.asked


async def test_an_unknown_key_is_refused_only_by_news():
    """A key was added a moment ago, and this VM has not heard of it."""
    vm = Vm(active_revision(WARDS), news=active_revision(WARDS, OTHERS))
    assert isinstance(await vm.admit(b'k-2'), Ok)
    nobody = await vm.admit(b'k-3')
    assert nobody.err_value.kind is ProblemKind.unauthorized
    assert nobody.err_value.outcome is Outcome.not_run


async def test_without_news_an_unknown_key_is_not_called_unknown():
    """Control does not answer, and the last proof is seconds old."""
    vm = Vm(active_revision(WARDS), proof_s=97.0)
    found = await vm.admit(b'k-2')
    assert found.err_value.kind is ProblemKind.unproven


@pytest.mark.parametrize(
    ('is_warming_up', 'asks'), [(False, False), (True, True)]
)
async def test_a_vm_without_proof_refuses_at_once_unless_it_is_young(
    is_warming_up,
    asks,
):
    """It is cut off; what it cannot serve must not be held."""
    vm = Vm(active_revision(WARDS), proof_s=90.0, is_warming_up=is_warming_up)
    found = await vm.admit()
    assert found.err_value.kind is ProblemKind.unproven
    assert bool(vm.asked) is asks


@pytest.mark.parametrize(
    ('after', 'proof_s', 'refusal'),
    [
        ((WARDS,), 99.5, None),
        ((WARDS,), 94.0, ProblemKind.unproven),
        ((OTHERS,), 99.5, ProblemKind.unauthorized),
        ((organisation('others', b'k-1'),), 99.5, ProblemKind.unauthorized),
    ],
)
async def test_a_key_is_looked_at_before_each_sending(after, proof_s, refusal):
    """While a request waits the VM is frozen, or the key is taken away."""
    vm = Vm(active_revision(WARDS))
    request = (await vm.admit()).ok_value
    vm.known = active_revision(*after)
    vm.proof_s = proof_s
    assert vm.authorizer.refusal(request, vm.known) is refusal


async def test_a_request_that_was_handed_over_is_looked_at_by_its_name():
    """Its key stayed where it came from."""
    vm = Vm(active_revision(WARDS))
    request = (await vm.admit()).ok_value
    handed = replace(request, key_sha256='', handed_over=True)
    assert vm.authorizer.refusal(handed, active_revision(WARDS)) is None
    gone = vm.authorizer.refusal(handed, active_revision(OTHERS))
    assert gone is ProblemKind.unauthorized


async def test_homes_without_a_common_region_are_told():
    """No region may serve it; it is refused at once and did not run."""
    bound = ROUTE.model_copy(update={'homes': ('kochi',)})
    home = organisation('wards', b'k-1', homes=('tvm',))
    made = manifest(home).model_copy(update={'routes': (bound,)})
    vm = Vm(ActiveRevision.from_revision(Revision(1, 'digest', made)))
    found = await vm.admit()
    assert isinstance(found, Err)
    assert found.err_value.kind is ProblemKind.no_upstream
