"""Revisions reach every VM, only upwards, through cuts and restarts."""

import pytest

from godwitshunt.configuration.commands import (
    Accepted,
    ChangeVms,
    Pending,
)
from godwitshunt.configuration.document import digest_of, document_of
from godwitshunt.configuration.history import DocumentRevision, RevisionHistory
from godwitshunt.configuration.revision_file import RevisionFile
from godwitshunt.configuration.task import UnlistedStart
from godwitshunt.configuration.tests.fakes import (
    Deployment,
    caller,
    manifest,
)
from godwitshunt.peer import MessageKind, encode
from godwitshunt.settings import Address


@pytest.fixture
async def deployment():
    """Yield one control replica and a VM in each of two regions."""
    made = Deployment()
    made.add_control('c1', 'zagreb')
    made.add_vm('e1', 'zagreb', 201)
    made.add_vm('e2', 'split', 203)
    await made.run(3)
    yield made
    await made.close()


async def test_accepted_manifest_is_in_force_everywhere(deployment):
    """Every VM applies it, is listed in it, and has a fresh proof."""
    accepted = await deployment.accept(manifest())
    await deployment.run(2)
    assert isinstance(accepted, Accepted)
    assert set(deployment.revisions().values()) == {
        deployment.services['c1'].state.revision,
    }
    current = deployment.tasks['e2'].current
    assert {vm.name for vm in current.vms} == {'c1', 'e1', 'e2'}
    assert deployment.tasks['e2'].is_admitted
    assert {holders.region: holders.names for holders in current.holders} == {
        'split': ('e2',),
        'zagreb': ('c1', 'e1'),
    }
    assert deployment.tasks['e2'].quorum_age_s() < 2


async def test_restart_without_disk_while_control_is_gone(deployment):
    """A VM without a disk restarts while no control replica answers it.

    Its peer has the newest revision and a fresh proof of the quorum; without
    asking it the VM's callers would get nothing.
    """
    address = deployment.tasks['e1'].record.peer
    record = deployment.add_vm('e3', 'zagreb', 205, peers=(address,))
    await deployment.accept(manifest())
    await deployment.run(3)
    deployment.cut_off(record.peer)
    await deployment.tasks['e3'].close()
    deployment.add_vm('e3', 'zagreb', 205, peers=(address,))
    assert deployment.revisions()['e3'] == 0
    await deployment.run(3)
    revisions = deployment.revisions()
    assert revisions['e1'] > 0
    assert revisions['e3'] == revisions['e1']
    assert deployment.tasks['e3'].quorum_age_s() < 3


async def test_restart_while_isolated_keeps_the_newest(deployment, tmp_path):
    """A VM with a disk is restarted while nobody answers it.

    It must come back with the newest revision that was in force there, and
    must know that it is isolated.
    """
    kept = RevisionFile(tmp_path)
    record = deployment.add_vm('e4', 'split', 207, kept=kept)
    for number in (1, 2, 3):
        await deployment.accept(manifest(number))
        await deployment.run(2)
    newest = deployment.revisions()['e4']
    deployment.cut_off(record.peer)
    await deployment.tasks['e4'].close()
    deployment.add_vm('e4', 'split', 207, kept=kept, control=())
    assert deployment.revisions()['e4'] == newest
    assert deployment.tasks['e4'].quorum_age_s() == float('inf')
    assert deployment.tasks['e4'].current.manifest.number == 3


async def test_isolated_vm_knows_the_age_of_its_proof(deployment):
    """A VM is cut from control and from its peers.

    The age of its proof grows, so that it stops serving bound callers.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.cut_off(deployment.tasks['e2'].record.peer)
    await deployment.run(5)
    assert deployment.tasks['e2'].quorum_age_s() > 4


@pytest.mark.parametrize(
    ('callers', 'waits_after_lease'),
    [
        ([caller('site', 'home'), caller('office', None)], False),
        ([caller('site', 'both'), caller('office', 'home')], True),
    ],
)
async def test_region_taken_away(deployment, callers, waits_after_lease):
    """A caller loses a region while that region's VM is cut off.

    The VM may still serve the caller there. Where its lease ends that, the
    manifest is accepted after the lease; where a VM serves the caller also
    while isolated, only after the VM answers or is taken out.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.cut_off(deployment.tasks['e2'].record.peer)
    pending = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(pending, Pending)
    assert deployment.services['c1'].waits_for(2) == ['e2']
    await deployment.run(15)
    again = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(again, Pending) == waits_after_lease
    deployment.network.cut.clear()
    await deployment.run(4)
    again = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(again, Accepted)


async def test_vm_that_was_silent_for_long(deployment):
    """A VM is replaced under another name, or cut off for hours.

    It leaves the list of VMs, else the list would grow for ever. But it may
    still serve its region while cut off, so a manifest that takes this region
    from a caller waits for it until it is back or taken out.
    """
    await deployment.accept(manifest())
    deployment.cut_off(deployment.tasks['e2'].record.peer)
    await deployment.run(2)
    deployment.timer.advance(3700)
    await deployment.run(3)
    state = deployment.services['c1'].state
    assert 'e2' not in state.document.section('vms')
    bound = [caller('office', 'home')]
    assert isinstance(
        await deployment.accept(manifest(2, callers=bound)),
        Pending,
    )
    await deployment.run(15)
    assert deployment.services['c1'].waits_for(2) == ['e2']
    gone = ChangeVms(removed=('e2',))
    await deployment.services['c1'].propose(gone)
    await deployment.run(1)
    again = await deployment.accept(manifest(2, callers=bound))
    assert isinstance(again, Accepted)


async def test_later_number_waits_for_the_earlier_one(deployment):
    """Number 2 takes a region away and waits for a VM that is cut off.

    Number 3 keeps that rule and takes nothing more. Were it accepted at once,
    the VM would still serve there by number 1. A seeded schedule found this.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.cut_off(deployment.tasks['e2'].record.peer)
    bound = [caller('office', 'home')]
    await deployment.accept(manifest(2, callers=bound))
    later = await deployment.accept(manifest(3, callers=bound))
    assert isinstance(later, Pending)
    deployment.network.cut.clear()
    await deployment.run(4)
    later = await deployment.accept(manifest(3, callers=bound))
    assert isinstance(later, Accepted)


async def test_vm_serves_only_once_it_is_listed(deployment, tmp_path):
    """A new VM has the newest revision before it is admitted.

    A manifest that is accepted meanwhile does not wait for it, so it must not
    serve yet: it has no revision in force until one lists it.
    """
    await deployment.accept(manifest())
    service = deployment.services['c1']
    for subscription in service.subscriptions:
        if subscription.callback == service.begin_maintenance:
            subscription.cancel()
    kept = RevisionFile(tmp_path)
    record = deployment.add_vm('e5', 'split', 209, kept=kept)
    await deployment.run(3)
    assert deployment.tasks['e5'].sync_state.latest is not None
    assert deployment.tasks['e5'].current is None
    await deployment.tasks['e5'].close()
    deployment.add_vm('e5', 'split', 209, kept=kept)
    assert deployment.tasks['e5'].current is None
    service.begin_maintenance()
    await deployment.run(3)
    assert record in deployment.tasks['e5'].current.vms


async def test_replayed_entries_make_one_revision_ready(deployment):
    """A control replica restarts and replays hundreds of entries at once.

    Were each made ready for VMs, it would not answer for many seconds.
    """
    service = deployment.services['c1']
    made_ready = []
    service.subscribe(made_ready.append)
    for number in range(1, 40):
        await deployment.accept(manifest(number))
    await deployment.run(0.1)
    assert [one.manifest.number for one in made_ready] == [39]


async def test_first_revision_waits_for_no_silent_replica(deployment):
    """All machines come back from the dark at once, replicas among them.

    Two replicas take connections and do not answer yet. Asked in turn, they
    keep a VM from the third one, and its callers are refused meanwhile.
    """
    await deployment.accept(manifest())
    silent = tuple(Address(host='127.0.0.1', port=port) for port in (111, 113))
    deployment.network.silent.update(silent)
    # Each VM begins with another replica, by its name.
    for number in range(4):
        deployment.add_vm(
            f'late-{number}',
            'zagreb',
            205 + 2 * number,
            control=(*silent, deployment.control[0]),
            unlisted=UnlistedStart(),
        )
    await deployment.run(1)
    assert len(set(deployment.revisions().values())) == 1


async def told_first(replies: dict[int, int], held: int) -> list[int]:
    """Return what a VM has in force after each reply of the first ones.

    Control replicas at ports of 301 and above tell the revisions in
    `replies`; `held` is the last one that any of them knows.
    """
    made = Deployment()
    made.control = tuple(
        Address(host='127.0.0.1', port=port) for port in (301, 303, 305)
    )
    history = RevisionHistory()
    for revision in range(1, held + 1):
        document = document_of(manifest(revision))
        history.add(DocumentRevision(revision, digest_of(document), document))
    for port, revision in replies.items():
        news = RevisionHistory()
        if revision:
            news.add(history.documents[revision])
        body = encode(news.make_update(0, float('inf')))

        async def answer(sender, asked, body=body):
            return body

        address = Address(host='127.0.0.1', port=port)
        kind = MessageKind.vm_heartbeat
        made.network.handlers[address, kind] = answer
    made.add_vm('e1', 'zagreb', 401, unlisted=UnlistedStart())
    in_force = []
    for _ in range(8):
        await made.run(0.1)
        in_force.append(made.revisions()['e1'])
    await made.close()
    return in_force


async def test_the_newest_revision_of_a_majority_is_taken_at_once():
    """All machines were dark, and no replica leads yet.

    Waiting for a proof of a quorum, or for half a second, every VM refused
    its callers although two of three replicas had told what they hold.
    """
    in_force = await told_first({301: 2, 303: 3}, held=3)
    assert in_force[0] == 3


async def test_one_replica_alone_is_believed_only_after_a_while():
    """The only replica that answers may be one that missed changes."""
    in_force = await told_first({301: 2, 303: 0}, held=2)
    assert in_force[:4] == [0, 0, 0, 0]
    assert in_force[-1] == 2
