"""Control replicas as processes that are killed, frozen and robbed of disks.

``GODWITSHUNT_CHANGES=300`` makes more changes than CI does.
"""

import asyncio
import json
import os
import sys

import pytest

from godwitshunt.settings import Address
from trials.control_processes import (
    TOKEN,
    ControlProcesses,
    free_address,
    manifest,
    started_control,
)

CHANGES = int(os.environ.get('GODWITSHUNT_CHANGES', '30'))
RESTART_EACH = 6


@pytest.fixture
async def control(tmp_path):
    """Yield three replicas that form a cluster."""
    async with started_control(tmp_path) as processes:
        yield processes


async def send_without_reading(address: Address, document: dict) -> None:
    """Send a manifest and never read the answer."""
    body = json.dumps(document).encode()
    _, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        'POST /v1/manifest HTTP/1.1\r\n'
        f'host: x\r\nauthorization: Bearer {TOKEN}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    writer.write(head.encode() + body)
    await writer.drain()


async def test_leader_dies_between_commit_and_answer(control):
    """The leader is killed after the commit; the operator has no answer.

    He sends the same manifest again: it is the accepted one, with the
    revision of the first commit, also for a resend after a later change.
    """
    await control.apply(1)
    leader = await control.leader()
    await send_without_reading(control.http[leader], manifest(2))
    await control.logged(f'c{leader}', '"number":2')
    control.kill(leader)
    _, first = await control.apply(2)
    assert (first['outcome'], first['number']) == ('accepted', 2)
    assert first['repeated']
    assert await other_contents(control, 2) == 409
    await control.apply(3)
    _, again = await control.apply(2)
    assert again['revision'] == first['revision']
    assert again['superseded_by'] == 3


async def other_contents(control: ControlProcesses, number: int) -> int:
    """Return the status for another manifest under a number."""
    status, _ = await control.apply(number, cost=9)
    return status


async def test_operators_race_under_equal_numbers(control):
    """Two operators send other contents under one number to two replicas.

    One wins in every round; the other is told whose manifest won.
    """
    for number in range(1, 6):
        answers = await asyncio.gather(
            control.apply(number, cost=1, at=1),
            control.apply(number, cost=2, at=2),
        )
        by_status = dict(answers)
        assert set(by_status) == {200, 409}
        assert by_status[409]['winner_digest'] == by_status[200]['digest']


async def test_second_loss_right_after_a_repair(control):
    """A disk is lost and repaired, and a second replica dies right then.

    Nothing accepted is lost, and changes go on.
    """
    _, first = await control.apply(1)
    lost = 2 if await control.leader() != 2 else 1
    control.kill(lost)
    control.lose_disk(lost)
    control.start(lost)
    await control.ready(lost)
    status, repaired = await control.until(
        'POST',
        f'/v1/replicas/c{lost}/replace',
    )
    assert status == 200
    assert len(repaired['voters']) == 3
    assert not repaired['learners']
    control.kill(await control.leader())
    _, again = await control.apply(1)
    assert again['revision'] == first['revision']
    status, _ = await control.apply(2)
    assert status == 200


async def test_changes_with_restarts_among_them(control):
    """Replicas are killed and restarted in turn between changes.

    After each the newest number is current everywhere, revisions only rise,
    and the first number still has its first answer.
    """
    revisions = []
    for number in range(1, CHANGES + 1):
        status, answer = await control.apply(number)
        assert status == 200
        revisions.append(answer['revision'])
        if not number % RESTART_EACH:
            place = (number // RESTART_EACH) % 3
            control.kill(place)
            control.start(place)
    assert revisions == sorted(set(revisions))
    _, again = await control.apply(1)
    assert (again['revision'], again['superseded_by']) == (
        revisions[0],
        CHANGES,
    )
    assert await other_contents(control, CHANGES) == 409


async def operate(*words: str) -> tuple[int, bytes]:
    """Run the operators' program; return exit code and standard error."""
    done = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'godwitshunt.programs.operator',
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    _, told = await done.communicate()
    return done.returncode, told


async def test_command_line(control, tmp_path):
    """An operator's pipeline reads the exit code of each outcome."""
    (tmp_path / 'm1.json').write_text(json.dumps(manifest(1)))
    (tmp_path / 'clash.json').write_text(json.dumps(manifest(1, cost=3)))
    (tmp_path / 'bad.json').write_text('{"number": "x"}')
    (tmp_path / 'wrong').write_text('another token')
    addresses = ','.join(str(address) for address in control.http)
    dead = str(free_address())
    token = str(tmp_path / 'token')
    wrong = str(tmp_path / 'wrong')
    table = (
        ('apply', 'm1.json', addresses, token, 0),
        ('apply', 'm1.json', addresses, token, 0),
        ('apply', 'clash.json', addresses, token, 11),
        ('apply', 'bad.json', addresses, token, 10),
        ('apply', 'm1.json', dead, token, 12),
        ('apply', 'm1.json', addresses, wrong, 15),
        ('apply', 'm1.json', 'nonsense', token, 2),
    )
    for command, name, control_addresses, token_file, expected in table:
        code, told = await operate(
            command,
            f'--manifest={tmp_path / name}',
            '--wait',
            f'--control={control_addresses}',
            f'--token-file={token_file}',
        )
        assert code == expected, (name, told)
        assert bool(told) == bool(expected)
        assert b'Traceback' not in told
    assert [control.stop(place) for place in range(3)] == [0, 0, 0]


async def test_region_taken_away_while_its_vm_is_gone(control, tmp_path):
    """A caller loses a region whose VM was killed and answers nobody.

    The VM may only be cut off and still serve there, so the manifest is not
    accepted; the operator is told which VM it waits for. Once he says that
    the VM has stopped, it is accepted.
    """
    rule = {'name': 'home', 'regions': ['zagreb']}
    caller = {
        'name': 'site',
        'key_sha256': '0' * 64,
        'home': 'zagreb',
        'request_class': 'urgent',
    }
    bound = {**caller, 'residency': 'home'}
    documents = (
        manifest(1, residency=[rule], callers=[caller]),
        manifest(2, residency=[rule], callers=[bound]),
    )
    paths = [tmp_path / f'm{place}.json' for place in range(2)]
    for path, document in zip(paths, documents, strict=True):
        path.write_text(json.dumps(document))
    addresses = ','.join(str(address) for address in control.http)
    common = (f'--control={addresses}', f'--token-file={tmp_path / "token"}')
    entry = control.start_entry('split')
    await control.logged('e1', 'entry:started')
    first = f'--manifest={paths[0]}'
    assert (await operate('apply', first, '--wait', *common))[0] == 0
    await control.logged('e1', '"number":1')
    entry.kill()
    second = f'--manifest={paths[1]}'
    code, told = await operate('apply', second, '--timeout-s=1', *common)
    assert code == 14
    assert b'waits for: e1' in told
    assert (await operate('remove-vm', '--name=e1', *common))[0] == 0
    assert (await operate('apply', second, *common))[0] == 0
