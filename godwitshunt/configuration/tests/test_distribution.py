"""Tests that each VM gets the newest revision after faults and restarts."""

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
    running = Deployment()
    running.add_control('c1', 'zagreb')
    running.add_vm('e1', 'zagreb', 201)
    running.add_vm('e2', 'split', 203)
    await running.run(3)
    yield running
    await running.close()


async def test_accepted_manifest_is_active_on_every_vm(deployment):
    """Each VM applies the revision, is listed in it and has a recent proof."""
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


async def test_diskless_restart_without_control_uses_a_peer(deployment):
    """A VM without a disk restarts while it reaches no control replica.

    It gets the newest revision and a recent proof of the quorum from its
    peer; otherwise it would have to refuse its callers.
    """
    address = deployment.tasks['e1'].record.peer
    record = deployment.add_vm('e3', 'zagreb', 205, peers=(address,))
    await deployment.accept(manifest())
    await deployment.run(3)
    deployment.partition_from_control(record.peer)
    await deployment.tasks['e3'].close()
    deployment.add_vm('e3', 'zagreb', 205, peers=(address,))
    assert deployment.revisions()['e3'] == 0
    await deployment.run(3)
    revisions = deployment.revisions()
    assert revisions['e1'] > 0
    assert revisions['e3'] == revisions['e1']
    assert deployment.tasks['e3'].quorum_age_s() < 3


async def test_isolated_restart_restores_the_revision(deployment, tmp_path):
    """A VM with a disk restarts while it reaches no other process.

    It must restore the newest revision that was active on it, and must know
    that it is isolated.
    """
    revision_file = RevisionFile(tmp_path)
    record = deployment.add_vm('e4', 'split', 207, revision_file=revision_file)
    for number in (1, 2, 3):
        await deployment.accept(manifest(number))
        await deployment.run(2)
    newest = deployment.revisions()['e4']
    deployment.partition_from_control(record.peer)
    await deployment.tasks['e4'].close()
    deployment.add_vm(
        'e4', 'split', 207, revision_file=revision_file, control_addresses=()
    )
    assert deployment.revisions()['e4'] == newest
    assert deployment.tasks['e4'].quorum_age_s() == float('inf')
    assert deployment.tasks['e4'].current.manifest.number == 3


async def test_proof_of_an_isolated_vm_ages(deployment):
    """A VM is partitioned from the control replicas and has no peers.

    The age of its proof grows, so that it stops serving callers that have a
    residency rule.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.partition_from_control(deployment.tasks['e2'].record.peer)
    await deployment.run(5)
    assert deployment.tasks['e2'].quorum_age_s() > 4


@pytest.mark.parametrize(
    ('callers', 'waits_after_lease'),
    [
        ([caller('site', 'home'), caller('office', None)], False),
        ([caller('site', 'both'), caller('office', 'home')], True),
    ],
)
async def test_region_removal_waits_for_partitioned_vm(
    deployment,
    callers,
    waits_after_lease,
):
    """A caller loses a region while the VM of that region is partitioned.

    The VM may still serve the caller there. If the VM stops when its lease
    expires, the manifest is accepted then. If it serves the caller also while
    isolated, the manifest waits until the VM reports again or is removed.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.partition_from_control(deployment.tasks['e2'].record.peer)
    first_outcome = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(first_outcome, Pending)
    assert deployment.services['c1'].waits_for(2) == ['e2']
    await deployment.run(15)
    outcome = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(outcome, Pending) == waits_after_lease
    deployment.network.partitioned.clear()
    await deployment.run(4)
    outcome = await deployment.accept(manifest(2, callers=callers))
    assert isinstance(outcome, Accepted)


async def test_expired_vm_still_delays_a_region_removal(deployment):
    """A VM is replaced under another name, or is partitioned for hours.

    It is dropped from the list of VMs, which would otherwise grow without
    limit. It may still serve its region, so a manifest that removes this
    region from a caller waits until the VM is back or has been removed.
    """
    await deployment.accept(manifest())
    deployment.partition_from_control(deployment.tasks['e2'].record.peer)
    await deployment.run(2)
    deployment.timer.advance(3700)
    await deployment.run(3)
    state = deployment.services['c1'].state
    assert 'e2' not in state.document.section('vms')
    restricted_callers = [caller('office', 'home')]
    assert isinstance(
        await deployment.accept(manifest(2, callers=restricted_callers)),
        Pending,
    )
    await deployment.run(15)
    assert deployment.services['c1'].waits_for(2) == ['e2']
    removal = ChangeVms(removed=('e2',))
    await deployment.services['c1'].propose(removal)
    await deployment.run(1)
    outcome = await deployment.accept(manifest(2, callers=restricted_callers))
    assert isinstance(outcome, Accepted)


async def test_later_number_waits_for_the_earlier_one(deployment):
    """Manifest 2 removes a region and waits for a partitioned VM.

    Manifest 3 keeps that rule and removes nothing more. If it were accepted
    at once, the VM would still serve the region by manifest 1. The schedules
    of test_schedules found this fault.
    """
    await deployment.accept(manifest())
    await deployment.run(2)
    deployment.partition_from_control(deployment.tasks['e2'].record.peer)
    restricted_callers = [caller('office', 'home')]
    await deployment.accept(manifest(2, callers=restricted_callers))
    outcome = await deployment.accept(manifest(3, callers=restricted_callers))
    assert isinstance(outcome, Pending)
    deployment.network.partitioned.clear()
    await deployment.run(4)
    outcome = await deployment.accept(manifest(3, callers=restricted_callers))
    assert isinstance(outcome, Accepted)


async def test_vm_serves_only_once_it_is_listed(deployment, tmp_path):
    """A new VM receives the newest revision before it is admitted.

    A manifest that is accepted meanwhile does not wait for this VM, so it
    must not serve: no revision is active on it until one lists it.
    """
    await deployment.accept(manifest())
    service = deployment.services['c1']
    for subscription in service.subscriptions:
        if subscription.callback == service.begin_maintenance:
            subscription.cancel()
    revision_file = RevisionFile(tmp_path)
    record = deployment.add_vm('e5', 'split', 209, revision_file=revision_file)
    await deployment.run(3)
    assert deployment.tasks['e5'].sync_state.latest is not None
    assert deployment.tasks['e5'].current is None
    await deployment.tasks['e5'].close()
    deployment.add_vm('e5', 'split', 209, revision_file=revision_file)
    assert deployment.tasks['e5'].current is None
    service.begin_maintenance()
    await deployment.run(3)
    assert record in deployment.tasks['e5'].current.vms


async def test_replay_publishes_only_the_last_revision(deployment):
    """A control replica restarts and replays hundreds of log entries.

    If it prepared each revision for the VMs, it would not answer for many
    seconds.
    """
    service = deployment.services['c1']
    published = []
    service.subscribe(published.append)
    for number in range(1, 40):
        await deployment.accept(manifest(number))
    await deployment.run(0.1)
    assert [revision.manifest.number for revision in published] == [39]


async def test_unresponsive_replicas_do_not_delay_first_revision(deployment):
    """All machines restart at once after an outage, control replicas too.

    Two replicas accept connections and do not answer yet. If a VM queried
    the replicas in turn, it would reach the third one late and refuse its
    callers until then.
    """
    await deployment.accept(manifest())
    unresponsive = tuple(
        Address(host='127.0.0.1', port=port) for port in (111, 113)
    )
    deployment.network.unresponsive.update(unresponsive)
    # The name of a VM determines which replica it queries first.
    for number in range(4):
        deployment.add_vm(
            f'late-{number}',
            'zagreb',
            205 + 2 * number,
            control_addresses=(*unresponsive, deployment.control_addresses[0]),
            unlisted=UnlistedStart(),
        )
    await deployment.run(1)
    assert len(set(deployment.revisions().values())) == 1


async def test_a_system_without_a_revision_polls_seldom(deployment):
    """All machines run, and the first manifest comes much later.

    All VMs poll all replicas meanwhile. The first revision must still reach
    them at once.
    """
    deployment.add_vm('early', 'zagreb', 205, unlisted=UnlistedStart())
    await deployment.run(4)
    task = deployment.tasks['early']
    polls = []
    poll_all_control = task.poll_all_control
    task.poll_all_control = lambda: polls.append(poll_all_control())
    await deployment.run(10)
    assert 10 <= len(polls) <= 22
    await deployment.accept(manifest())
    await deployment.run(0.6)
    assert deployment.revisions()['early']


async def test_a_vm_that_no_replica_answers_polls_often(deployment):
    """Its control replicas start again later than the VM itself.

    Each tenth of a second that it asks later, its callers are refused longer.
    """
    await deployment.accept(manifest())
    record = deployment.add_vm('early', 'zagreb', 205, unlisted=UnlistedStart())
    deployment.partition_from_control(record.peer)
    await deployment.run(6)
    assert not deployment.revisions()['early']
    deployment.network.partitioned.clear()
    await deployment.run(0.2)
    assert deployment.revisions()['early']


async def active_after_start(replies: dict[int, int], newest: int) -> list[int]:
    """Return the active revision of a new VM at each 0.1 s of its first 0.8 s.

    `replies` maps the port of a control replica (301, 303 or 305) to the
    revision that it replies with, 0 for none. `newest` is the last revision
    that any of them has.
    """
    deployment = Deployment()
    deployment.control_addresses = tuple(
        Address(host='127.0.0.1', port=port) for port in (301, 303, 305)
    )
    history = RevisionHistory()
    for revision in range(1, newest + 1):
        document = document_of(manifest(revision))
        history.add(DocumentRevision(revision, digest_of(document), document))
    for port, revision in replies.items():
        replica_history = RevisionHistory()
        if revision:
            replica_history.add(history.documents[revision])
        body = encode(replica_history.make_update(0, float('inf')))

        async def reply(sender, request, body=body):
            return body

        address = Address(host='127.0.0.1', port=port)
        kind = MessageKind.vm_heartbeat
        deployment.network.handlers[address, kind] = reply
    deployment.add_vm('e1', 'zagreb', 401, unlisted=UnlistedStart())
    active_revisions = []
    for _ in range(8):
        await deployment.run(0.1)
        active_revisions.append(deployment.revisions()['e1'])
    await deployment.close()
    return active_revisions


async def test_newest_revision_of_a_majority_is_active_at_once():
    """All machines restart after an outage, and no replica is leader yet.

    If VMs waited for a proof of a quorum, or for half a second, they would
    refuse their callers although two of three replicas have replied.
    """
    active_revisions = await active_after_start({301: 2, 303: 3}, newest=3)
    assert active_revisions[0] == 3


async def test_revision_of_a_single_replica_is_active_after_a_delay():
    """The only replica that has a revision may have missed later ones."""
    active_revisions = await active_after_start({301: 2, 303: 0}, newest=2)
    assert active_revisions[:4] == [0, 0, 0, 0]
    assert active_revisions[-1] == 2
