"""How what requests did to upstreams becomes known to all VMs."""

import pytest

from godwitshunt.peer import encode
from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    QuarantineStatus,
)
from godwitshunt.registry.tests.deployment import Deployment, address

LETHAL = Fingerprint(bytes(16))


@pytest.fixture
async def deployment():
    """Return two regions with a control VM and an entry VM each."""
    return Deployment({1: 'a', 2: 'b'})


def lose(watch, place, fingerprint=LETHAL):
    """Let an upstream have ended under a request, each at another second."""
    at_s = watch.timer.now() - 10 + int(place[-1])
    loss = Loss(place, at_s, 0.1)
    watch.quarantine.record_loss(LostRequest(fingerprint, '', 5, loss))


def status(watch):
    """Return what an entry VM holds against the lethal request."""
    return watch.quarantine.assessment(LETHAL).status


async def spread(deployment, *watches):
    """Let each VM tell what it has seen, and hear what is known."""
    for watch in watches:
        await deployment.poll(watch)
    await deployment.exchange()
    await deployment.exchange()
    for watch in watches:
        await deployment.poll(watch)


async def test_ends_seen_by_several_vms_are_counted_together(deployment):
    """One end seen in each region, and one by a third VM."""
    watches = [
        deployment.entry(11, 'a'),
        deployment.entry(12, 'b'),
        deployment.entry(13, 'a'),
    ]
    for number, watch in enumerate(watches):
        await deployment.poll_controls(watch)
        lose(watch, f'i-{number}')
    deployment.timer.advance(1)
    await spread(deployment, *watches)
    assert {status(one) for one in watches} == {QuarantineStatus.quarantined}


async def test_vm_that_starts_anew_hears_of_what_is_kept_back(deployment):
    """A repeat that comes to an entry VM that has just started."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        lose(watch, f'i-{number}')
    await spread(deployment, watch)
    young = deployment.entry(12, 'b')
    await deployment.poll_controls(young)
    assert status(young) is QuarantineStatus.quarantined


async def test_control_vm_that_starts_anew_is_told_again(deployment):
    """All that was known, lost with the control VM's process."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        lose(watch, f'i-{number}')
    await spread(deployment, watch)
    for number in (1, 2):
        deployment.restart(number)
    deployment.timer.advance(1)
    for _ in range(3):
        await deployment.poll(watch, 1)
        deployment.timer.advance(1)
    young = deployment.entry(12, 'a')
    await deployment.poll_controls(young)
    assert status(young) is QuarantineStatus.quarantined


async def test_each_side_of_a_cut_knows_what_it_saw(deployment):
    """Two regions that don't hear each other, then do."""
    north, south = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for watch in (north, south):
        await deployment.poll_controls(watch)
    for one, other in ((1, 2), (11, 2), (12, 1)):
        deployment.network.split(address(one), address(other))
    for number in range(3):
        lose(north, f'i-{number}')
    lose(south, 'j-1')
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(north) is QuarantineStatus.quarantined
    assert status(south) is QuarantineStatus.clear
    deployment.network.heal()
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(south) is QuarantineStatus.quarantined


async def test_whole_answer_seen_by_one_vm_clears_for_all(deployment):
    """A popular request, kept back by VMs that saw no answer to it."""
    north, south = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for watch in (north, south):
        await deployment.poll_controls(watch)
    lose(north, 'i-1')
    lose(north, 'i-2')
    deployment.timer.advance(1)
    await spread(deployment, north, south)
    assert status(south) is QuarantineStatus.suspected
    deployment.timer.advance(1)
    south.quarantine.clear(LETHAL)
    await spread(deployment, north, south)
    lose(north, 'i-3')
    assert status(north) is QuarantineStatus.clear


async def test_entry_vms_hear_nothing_of_what_was_lost_once(deployment):
    """An end of an engine that costs bytes at each of many VMs."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(48):
        lose(watch, 'i-1', Fingerprint(number.to_bytes(16, 'big')))
    await spread(deployment, watch)
    other = deployment.entry(12, 'a')
    await deployment.poll_controls(other)
    assert not other.quarantine.table.records
    control = deployment.controls[1]
    assert len(control.quarantine.table.records) == 48


async def test_in_calm_polls_and_replies_carry_nothing_of_it(deployment):
    """Bytes between regions for what never happened."""
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


async def test_lower_versions_of_a_process_that_started_anew_are_heard(
    deployment,
):
    """A VM that asks the new process for what came after the old one's news."""
    watch, other = deployment.entry(11, 'a'), deployment.entry(12, 'b')
    for one in (watch, other):
        await deployment.poll_controls(one)
    for number in range(50):
        lose(watch, 'i-9', Fingerprint(number.to_bytes(16, 'little')))
    await spread(deployment, watch)
    for number in (1, 2):
        deployment.restart(number)
    for number in range(3):
        lose(other, f'i-{number}', Fingerprint(bytes(range(16))))
    await spread(deployment, other)
    for _ in range(3):
        await deployment.poll(watch, 1)
    assessment = watch.quarantine.assessment(Fingerprint(bytes(range(16))))
    assert assessment.status is QuarantineStatus.quarantined


async def test_control_vm_that_is_asked_first_later_is_told_all(deployment):
    """Losses that were held to be told, to one that was asked for a table."""
    watch = deployment.entry(11, 'a')
    await deployment.poll_controls(watch)
    for number in range(3):
        lose(watch, f'i-{number}')
    await deployment.poll(watch, 2)
    deployment.network.split(address(11), address(1))
    deployment.network.split(address(1), address(2))
    await deployment.poll(watch, 1)
    await deployment.poll(watch, 2)
    assessment = deployment.controls[2].quarantine.assessment(LETHAL)
    assert assessment.status is QuarantineStatus.quarantined
