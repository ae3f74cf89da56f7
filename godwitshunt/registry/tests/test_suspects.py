"""How requests lost to upstreams become known to all VMs."""

import pytest

from godwitshunt.peer import MessageKind, encode
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
    SuspectPart,
)
from godwitshunt.registry.suspect_wire import (
    suspects_from_wire,
    suspects_to_wire,
)
from godwitshunt.registry.tests.deployment import Deployment, address

LETHAL = Fingerprint(bytes(16))


@pytest.fixture
async def deployment():
    """Return two regions with a control VM each."""
    return Deployment({1: 'a', 2: 'b'})


def record_loss(watch, upstream, fingerprint=LETHAL):
    """Record a request lost to an upstream, to each at another second."""
    at_s = watch.timer.now() - 10 + int(upstream[-1])
    loss = Loss(upstream, at_s, 0.1)
    watch.quarantine.record_loss(LostRequest(fingerprint, '', 5, loss))


def status(watch):
    """Return the quarantine status of the lethal request at an entry VM."""
    return watch.quarantine.assessment(LETHAL).status


async def spread(deployment, *watches):
    """Let each VM report its losses and receive the others'."""
    for watch in watches:
        await deployment.poll(watch)
    await deployment.exchange()
    await deployment.exchange()
    for watch in watches:
        await deployment.poll(watch)


async def test_losses_at_several_vms_are_counted_together(deployment):
    """One loss in each region and one at a third VM."""
    watches = [
        deployment.entry(11, 'a'),
        deployment.entry(12, 'b'),
        deployment.entry(13, 'a'),
    ]
    for number, watch in enumerate(watches):
        await deployment.poll_controls(watch)
        record_loss(watch, f'i-{number}')
    deployment.timer.advance(1)
    await spread(deployment, *watches)
    assert {status(entry) for entry in watches} == {
        QuarantineStatus.quarantined
    }


async def test_restarted_entry_vm_learns_of_quarantined_requests(deployment):
    """A quarantined request is repeated to an entry VM that just started."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        record_loss(watch, f'i-{number}')
    await spread(deployment, watch)
    new_entry = deployment.entry(12, 'b')
    await deployment.poll_controls(new_entry)
    assert status(new_entry) is QuarantineStatus.quarantined


async def test_restarted_control_vm_receives_losses_again(deployment):
    """The restarted control VMs have lost all recorded losses."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        record_loss(watch, f'i-{number}')
    await spread(deployment, watch)
    for number in (1, 2):
        deployment.restart(number)
    deployment.timer.advance(1)
    for _ in range(3):
        await deployment.poll(watch, 1)
        deployment.timer.advance(1)
    new_entry = deployment.entry(12, 'a')
    await deployment.poll_controls(new_entry)
    assert status(new_entry) is QuarantineStatus.quarantined


async def test_partitioned_regions_exchange_losses_after_healing(deployment):
    """During a partition each region knows only its own losses."""
    north, south = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for watch in (north, south):
        await deployment.poll_controls(watch)
    for first, second in ((1, 2), (11, 2), (12, 1)):
        deployment.network.split(address(first), address(second))
    for number in range(3):
        record_loss(north, f'i-{number}')
    record_loss(south, 'j-1')
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(north) is QuarantineStatus.quarantined
    assert status(south) is QuarantineStatus.clear
    deployment.network.heal()
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(south) is QuarantineStatus.quarantined


async def test_complete_answer_at_one_vm_clears_the_request_for_all(deployment):
    """VMs that saw no answer must not quarantine a request that succeeds."""
    north, south = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for watch in (north, south):
        await deployment.poll_controls(watch)
    record_loss(north, 'i-1')
    record_loss(north, 'i-2')
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(south) is QuarantineStatus.suspected
    deployment.timer.advance(1)
    south.quarantine.clear(LETHAL)
    await spread(deployment, north, south)
    record_loss(north, 'i-3')
    assert status(north) is QuarantineStatus.clear


async def test_single_losses_are_not_sent_to_entry_vms(deployment):
    """A crash of an engine loses many requests once; sending all is costly."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(48):
        record_loss(watch, 'i-1', Fingerprint(number.to_bytes(16, 'big')))
    await spread(deployment, watch)
    other = deployment.entry(12, 'a')
    await deployment.poll_controls(other)
    assert not other.quarantine.table.records
    control = deployment.controls[1]
    assert len(control.quarantine.table.records) == 48


async def test_polls_without_losses_carry_no_suspects(deployment):
    """Without losses the feature must add hardly any bytes to polls."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    now_s = deployment.timer.now()
    poll = watch.make_poll(str(address(1)), now_s)
    reply = deployment.controls[1].reply(poll)
    assert (poll.suspects, reply.suspects) == ([], [])
    before = len(encode(reply))
    reply.suspects = None
    reply.suspects_version = None
    assert before - len(encode(reply)) <= 8


async def test_lower_versions_of_a_restarted_process_are_received(
    deployment,
):
    """An entry VM holds a higher version of the previous process."""
    watch, other = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for entry in (watch, other):
        await deployment.poll_controls(entry)
    for number in range(50):
        record_loss(watch, 'i-9', Fingerprint(number.to_bytes(16, 'little')))
    await spread(deployment, watch)
    for number in (1, 2):
        deployment.restart(number)
    for number in range(3):
        record_loss(other, f'i-{number}', Fingerprint(bytes(range(16))))
    await spread(deployment, other)
    for _ in range(3):
        await deployment.poll(watch, 1)
    assessment = watch.quarantine.assessment(Fingerprint(bytes(range(16))))
    assert assessment.status is QuarantineStatus.quarantined


async def test_new_preferred_control_vm_receives_all_losses(deployment):
    """A poll for its table alone must not count as a report of losses."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        record_loss(watch, f'i-{number}')
    await deployment.poll(watch, 2)
    deployment.network.split(address(11), address(1))
    deployment.network.split(address(1), address(2))
    await deployment.poll(watch, 1)
    await deployment.poll(watch, 2)
    assessment = deployment.controls[2].quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined


def record_lost_part(watch, upstream, at_s):
    """Record that a request with the lethal part was lost."""
    loss = Loss(upstream, at_s, 0.1, observer=watch.quarantine.name)
    part = SuspectPart('llm bad', 1)
    watch.quarantine.record_loss(LostRequest(LETHAL, '', 0, loss, part))


async def test_verdict_is_pushed_to_entry_vms(deployment):
    """Until their next polls they would crash one upstream each."""
    watches = [deployment.entry(number, 'a') for number in (11, 12)]
    for watch in watches:
        await deployment.poll_controls(watch)
        watch.links.subscribe(
            MessageKind.suspect_news, watch.handle_suspect_news
        )
    for number in range(3):
        record_lost_part(watches[0], f'i-{number}', float(number))
    await deployment.poll(watches[0])
    assert status(watches[1]) is QuarantineStatus.quarantined


async def test_restarted_entry_vm_learns_of_quarantined_parts(deployment):
    """Its callers send the part to it first."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        record_lost_part(watch, f'i-{number}', float(number))
    await spread(deployment, watch)
    new_entry = deployment.entry(12, 'b')
    await deployment.poll_controls(new_entry)
    assert new_entry.quarantine.assess_parts((LETHAL,))[0].status is (
        QuarantineStatus.quarantined
    )


async def test_parts_and_observers_cross_the_wire(deployment):
    """Turns to try a part, and the order of blame, depend on them."""
    watch = deployment.entry(11, 'a')
    watch.quarantine.name = 'north/e-11'
    record_lost_part(watch, 'i-1', 0.0)
    records = watch.quarantine.own.since(0)
    received = suspects_from_wire(suspects_to_wire(records, 0.0), 0.0)
    assert received[0].part == SuspectPart('llm bad', 1)
    assert received[0].observers() == ['north/e-11']
