"""What distributing the configuration costs, at the size of letter 1.

Run ``python -m benchmarks.configuration``. It makes manifests of several
sizes, takes one change through the control side and a VM, and prints bytes and
processor time with their slopes. Everything runs in one process; the network's
own overhead (TCP and IP headers) is not in the bytes.
"""

import asyncio
import hashlib
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from godwitshunt.configuration import ControlState, apply_command
from godwitshunt.configuration.commands import AcceptManifest, ChangeVms
from godwitshunt.configuration.delta import diff, patch
from godwitshunt.configuration.document import (
    Document,
    digest_of,
    document_of,
    manifest_digest_of,
    pack,
    pack_document,
    revision_of,
    unpack_document,
    vm_to_entry,
)
from godwitshunt.configuration.history import (
    MAX_DOCUMENTS,
    DocumentRevision,
    RevisionHistory,
)
from godwitshunt.configuration.replicated_log import SingleLog
from godwitshunt.configuration.revision import VmRecord, VmRole
from godwitshunt.configuration.service import ConfigurationService
from godwitshunt.configuration.sync_state import SyncState, apply_update
from godwitshunt.configuration.task import ConfigurationTask
from godwitshunt.manifest import Manifest
from godwitshunt.peer import MessageKind, PeerLinks, PeerOptions, encode
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

DAY_S = 86400
CHANGES_A_DAY = 2000
# Each restart changes the VM's session and the claim holders of its region.
REVISIONS_OF_RESTARTS_A_DAY = 2 * 340
REGIONS = 19
VMS = 480
ORGANISATIONS = (100, 300, 600, 1100)
VM_COUNTS = (60, 120, 240, 480)
ROUNDS = 15
HEARTBEATS = 2000
# Length and envelope of a message, about.
FRAME_BYTES = 12


@dataclass(frozen=True)
class Cost:
    """One size's figures; sizes in bytes, times in milliseconds."""

    whole_bytes: int
    delta_bytes: int
    accept_ms: float
    encode_ms: float
    take_ms: float
    validate_ms: float
    take_whole_ms: float

    @property
    def change_ms(self) -> float:
        """Processor time of a VM for one revision."""
        return self.take_ms + self.validate_ms


def make_manifest(organisations: int, number: int, cost: float) -> Manifest:
    """Return a manifest; the change is one caller's rate."""
    regions = [f'region-{place}' for place in range(REGIONS)]
    callers = [
        {
            'name': f'organisation-{place}',
            'key_sha256': hashlib.sha256(str(place).encode()).hexdigest(),
            'home': regions[place % REGIONS],
            'request_class': 'urgent',
            'residency': 'bound' if place % 4 == 0 else None,
            'requests_per_s': cost if place == 5 else 10,
        }
        for place in range(organisations)
    ]
    return Manifest.model_validate(
        {
            'number': number,
            'deployment': 'letter',
            'regions': [
                {'name': name, 'failure_domains': [f'{name}-a', f'{name}-b']}
                for name in regions
            ],
            'services': [{'name': 'chat', 'kind': 'model'}],
            'models': [
                {'name': f'model-{place}', 'service': 'chat'}
                for place in range(4)
            ],
            'classes': [{'name': 'urgent'}, {'name': 'long'}],
            'residency': [{'name': 'bound', 'regions': regions[:2]}],
            'callers': callers,
        },
    )


def make_vm(place: int) -> VmRecord:
    """Return one of the deployment's VMs."""
    region = f'region-{place % REGIONS}'
    host = f'10.{place // 200}.{place % 200}.1'
    return VmRecord(
        f'entry-{place}',
        region,
        f'{region}-a',
        VmRole.entry,
        Address(host=host, port=8080),
        Address(host=host, port=8081),
        f'{place:016x}',
    )


def with_vms(document: Document, count: int) -> Document:
    """Return a document with that many VMs."""
    vms = {f'entry-{one}': vm_to_entry(make_vm(one)) for one in range(count)}
    return document.with_section('vms', vms)


def least_ms(work: Callable[[], Any]) -> float:
    """Return the least processor time of some work, in milliseconds.

    Other processes on the machine only ever add to it.
    """
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times) * 1000


def measure(organisations: int, vms: int) -> Cost:
    """Return the cost of one change at one size."""
    first = make_manifest(organisations, 1, 10)
    base = with_vms(document_of(first), vms)
    target_manifest = document_of(make_manifest(organisations, 2, 11))
    target = with_vms(target_manifest, vms)
    state = start_state(first, vms)
    command = AcceptManifest(
        2,
        manifest_digest_of(target),
        manifest_digest_of(base),
        pack(diff(base, target)),
    )
    history = RevisionHistory()
    history.add(DocumentRevision(1, digest_of(base), base))
    sync_state = SyncState(history.newest)
    history.add(DocumentRevision(2, digest_of(target), target))
    delta = history.make_update(sync_state.base_revision, 0)
    whole = history.make_update(0, 0)
    return Cost(
        whole_bytes=len(encode(whole)),
        delta_bytes=len(encode(delta)),
        accept_ms=least_ms(lambda: apply_command(state, command)),
        encode_ms=least_ms(lambda: pack(diff(base, target))),
        take_ms=least_ms(lambda: apply_update(sync_state, delta, 0)),
        validate_ms=least_ms(lambda: revision_of(2, target)),
        take_whole_ms=least_ms(lambda: apply_update(SyncState(), whole, 0)),
    )


def start_state(manifest: Manifest, vms: int) -> ControlState:
    """Return the control state with a manifest and VMs."""
    document = document_of(manifest)
    accept = AcceptManifest(
        1,
        manifest_digest_of(document),
        '',
        pack_document(document),
    )
    state, _ = apply_command(ControlState(), accept)
    records = tuple(make_vm(place) for place in range(vms))
    state, _ = apply_command(state, ChangeVms(records))
    return state


def slope(
    sizes: tuple[int, ...],
    readings: list[float],
) -> tuple[float, float]:
    """Return slope and intercept by least squares."""
    mean_size = sum(sizes) / len(sizes)
    mean_reading = sum(readings) / len(sizes)
    points = zip(sizes, readings, strict=True)
    over = sum(
        (size - mean_size) * (reading - mean_reading)
        for size, reading in points
    )
    rise = over / sum((size - mean_size) ** 2 for size in sizes)
    return rise, mean_reading - rise * mean_size


def table(name: str, sizes: tuple[int, ...], costs: list[Cost]) -> list[str]:
    """Return one table with slopes, as lines."""
    heads = ''.join(f'{size:>10}' for size in sizes)
    lines = ['', f'{name:>14}{heads}     slope      base']
    for field in (*Cost.__dataclass_fields__, 'change_ms'):
        readings = [float(getattr(cost, field)) for cost in costs]
        rise, base = slope(sizes, readings)
        cells = ''.join(f'{reading:>10.2f}' for reading in readings)
        lines.append(f'{field:>14}{cells}{rise:>10.4f}{base:>10.2f}')
    return lines


@dataclass(frozen=True)
class Beat:
    """A heartbeat: bytes each way, and milliseconds of both sides together."""

    sent_bytes: int
    got_bytes: int
    handler_ms: float
    both_sides_ms: float


async def heartbeat_cost() -> Beat:
    """Return what a heartbeat over a real link costs without news."""
    metrics = Metrics()
    options = [
        PeerOptions(name, free_address(), b'key') for name in ('c1', 'entry-0')
    ]
    links = [PeerLinks.from_config(option, metrics) for option in options]
    for link in links:
        await link.start()
    control, own = (option.listen for option in options)
    timer = TimerService()
    record = replace(make_vm(0), peer=own)
    service = ConfigurationService(
        replace(make_vm(1), peer=control),
        (),
        SingleLog('c1'),
        links[0],
        timer,
        metrics,
    )
    service.start()
    await service.accept(make_manifest(100, 1, 10))
    await service.freshness.prove()
    task = ConfigurationTask(
        record, (control,), (), links[1], timer, metrics, None
    )
    beat = await time_heartbeats(service, task, control)
    await task.close()
    await service.close()
    for link in links:
        await link.close()
    return beat


async def time_heartbeats(
    service: ConfigurationService,
    task: ConfigurationTask,
    control: Address,
) -> Beat:
    """Send heartbeats one after the other and divide the time."""
    kind = MessageKind.vm_heartbeat
    # The first introduces the VM, the second takes the revision.
    await task.poll_one(control, kind)
    await task.poll_one(control, kind)
    body = encode(task.heartbeat())
    reply = await service.on_heartbeat('entry-0', body)
    started = time.process_time()
    for _ in range(HEARTBEATS):
        await service.on_heartbeat('entry-0', body)
    handled = time.process_time()
    for _ in range(HEARTBEATS):
        await task.poll_one(control, kind)
    ended = time.process_time()
    return Beat(
        len(body),
        len(reply),
        (handled - started) * 1000 / HEARTBEATS,
        (ended - handled) * 1000 / HEARTBEATS,
    )


def memory_mb() -> float:
    """Return the memory of a VM's last 64 documents and its revision."""
    tracemalloc.start()
    document = with_vms(document_of(make_manifest(1100, 1, 10)), VMS)
    document = unpack_document(pack_document(document)).ok_value
    history = RevisionHistory()
    before = tracemalloc.get_traced_memory()[0]
    document = unpack_document(pack_document(document)).ok_value
    for number in range(1, MAX_DOCUMENTS + 1):
        later = with_vms(document_of(make_manifest(1100, number, number)), VMS)
        document = patch(document, diff(document, later)).ok_value
        history.add(DocumentRevision(number, digest_of(document), document))
    revision = revision_of(MAX_DOCUMENTS, document)
    later = document
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / revision.revision * MAX_DOCUMENTS / 1e6


def totals(cost: Cost, beat: Beat) -> list[str]:
    """Return what a VM and a control replica spend at the letter's size."""
    revisions_per_s = (CHANGES_A_DAY + REVISIONS_OF_RESTARTS_A_DAY) / DAY_S
    # A push and the heartbeat that was under way may both carry the delta.
    deltas = 2 * cost.delta_bytes * revisions_per_s
    wholes = cost.whole_bytes / DAY_S
    beats = beat.sent_bytes + beat.got_bytes + 2 * FRAME_BYTES
    spent = cost.change_ms / 1000 * revisions_per_s + beat.both_sides_ms / 1000
    control = beat.both_sides_ms / 1000 * VMS / 3
    return [
        '',
        f'heartbeat: {beat.sent_bytes} bytes out, {beat.got_bytes} back; '
        f'{beat.handler_ms:.3f} ms in the handler, '
        f'{beat.both_sides_ms:.3f} ms for both sides with their links',
        f'a VM: {beats + deltas + wholes:.0f} bytes/s ({beats} heartbeats, '
        f'{deltas:.1f} deltas, {wholes:.1f} one whole document a day)',
        f'a VM: at most {spent * 100:.2f}% of a core '
        f'for {revisions_per_s:.4f} revisions/s and a heartbeat each second',
        f'a control replica of three: at most {control * 100:.1f}% of a core '
        f'and {beats * VMS / 3 / 1000:.0f} kB/s for heartbeats',
    ]


def main() -> None:
    """Print all tables."""
    by_organisation = [measure(size, VMS) for size in ORGANISATIONS]
    by_vm = [measure(ORGANISATIONS[-1], size) for size in VM_COUNTS]
    beat = asyncio.run(heartbeat_cost())
    lines = [
        *table('organisations', ORGANISATIONS, by_organisation),
        *table('VMs', VM_COUNTS, by_vm),
        *totals(by_organisation[-1], beat),
        f'memory of 64 documents and a revision: {memory_mb():.1f} MB',
        '',
    ]
    sys.stdout.write('\n'.join(lines))


if __name__ == '__main__':
    main()
