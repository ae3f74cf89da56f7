"""Keys that are added and revoked between admission and sending."""

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
    """Return an active revision with organisations."""
    revision = Revision(1, 'digest', manifest(*organisations))
    return ActiveRevision.from_revision(revision)


@dataclass
class Vm:
    """State of a VM; renewing its proof also updates its revision."""

    active: ActiveRevision
    newest: ActiveRevision | None = None
    now_s: float = 100.0
    proof_s: float = 99.5
    is_warming_up: bool = False
    renewals: int = 0
    authorizer: Authorizer = field(init=False)

    def __post_init__(self) -> None:
        self.authorizer = Authorizer(
            FreshnessRule(REVOKE_S),
            lambda: self.now_s,
            lambda: self.now_s - self.proof_s,
            self.renew,
        )
        self.admission = Admission(
            HeaderNames(),
            lambda: self.active,
            self.authorizer,
            Random(1),
            lambda: self.is_warming_up,
        )

    async def renew(self) -> None:
        """Renew the proof and the revision where control answers."""
        self.renewals += 1
        if self.newest is not None:
            self.active = self.newest
            self.proof_s = self.now_s

    async def admit(self, key: bytes = b'k-1'):
        """Admit a request with a key."""
        headers = ((b'host', b'a.example'), (HeaderNames().key, key))
        http = HttpRequest('GET', '/x', '', headers, b'')
        return await self.admission.admit(http, self.now_s)


@pytest.fixture(autouse=True)
def _short_key_lookup(monkeypatch):
    monkeypatch.setattr(
        'godwitshunt.ingress.admission.KEY_LOOKUP_TIMEOUT_S', 0.05
    )
    monkeypatch.setattr('godwitshunt.ingress.admission.KEY_POLL_PERIOD_S', 0.01)


async def test_known_key_is_admitted_without_renewal():
    """Without changes no request waits for control."""
    vm = Vm(active_revision(WARDS))
    admitted = await vm.admit()
    assert isinstance(admitted, Ok)
    assert admitted.ok_value.organisation == WARDS
    assert admitted.ok_value.key_sha256 == key_digest(b'k-1')
    assert not vm.renewals


async def test_unknown_key_is_refused_only_after_renewal():
    """The key was added recently and this VM has not received it yet."""
    vm = Vm(active_revision(WARDS), newest=active_revision(WARDS, OTHERS))
    assert isinstance(await vm.admit(b'k-2'), Ok)
    unknown = await vm.admit(b'k-3')
    assert unknown.err_value.kind is ProblemKind.unauthorized
    assert unknown.err_value.outcome is Outcome.not_run


async def test_unknown_key_is_unproven_without_renewal():
    """Control does not answer and the last proof is seconds old."""
    vm = Vm(active_revision(WARDS), proof_s=97.0)
    admitted = await vm.admit(b'k-2')
    assert admitted.err_value.kind is ProblemKind.unproven


@pytest.mark.parametrize(
    ('is_warming_up', 'renews'), [(False, False), (True, True)]
)
async def test_vm_without_proof_refuses_at_once_unless_warming_up(
    is_warming_up,
    renews,
):
    """The VM is cut off and must not hold requests that it cannot serve."""
    vm = Vm(active_revision(WARDS), proof_s=90.0, is_warming_up=is_warming_up)
    admitted = await vm.admit()
    assert admitted.err_value.kind is ProblemKind.unproven
    assert bool(vm.renewals) is renews


@pytest.mark.parametrize(
    ('organisations', 'proof_s', 'refusal'),
    [
        ((WARDS,), 99.5, None),
        ((WARDS,), 94.0, ProblemKind.unproven),
        ((OTHERS,), 99.5, ProblemKind.unauthorized),
        ((organisation('others', b'k-1'),), 99.5, ProblemKind.unauthorized),
    ],
)
async def test_key_is_checked_before_each_attempt(
    organisations, proof_s, refusal
):
    """The VM is frozen or the key is revoked while the request waits."""
    vm = Vm(active_revision(WARDS))
    request = (await vm.admit()).ok_value
    vm.active = active_revision(*organisations)
    vm.proof_s = proof_s
    assert vm.authorizer.refusal(request, vm.active) is refusal


async def test_forwarded_request_is_checked_by_its_organisation():
    """The key itself is not forwarded."""
    vm = Vm(active_revision(WARDS))
    request = (await vm.admit()).ok_value
    forwarded = replace(request, key_sha256='', is_forwarded=True)
    assert vm.authorizer.refusal(forwarded, active_revision(WARDS)) is None
    refusal = vm.authorizer.refusal(forwarded, active_revision(OTHERS))
    assert refusal is ProblemKind.unauthorized


async def test_homes_without_a_common_region_are_refused():
    """No region may serve the request, so it is refused at once and not run."""
    bound = ROUTE.model_copy(update={'homes': ('kochi',)})
    home = organisation('wards', b'k-1', homes=('tvm',))
    document = manifest(home).model_copy(update={'routes': (bound,)})
    vm = Vm(ActiveRevision.from_revision(Revision(1, 'digest', document)))
    admitted = await vm.admit()
    assert isinstance(admitted, Err)
    assert admitted.err_value.kind is ProblemKind.no_upstream
