"""Measure membership and claims: processor time, bytes, memory, latency.

``python -m benchmarks.state`` prints one table for each part. Processor time
is that of the one process that is measured; its peers run in another. Bytes
are those of frames, without the headers of TCP and IP.
"""

import asyncio
import hashlib
import json
import multiprocessing
import os
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from functools import partial
from itertools import product
from pathlib import Path

import defopt

from godwitshunt.claims import ClaimsTask, Granted, StoredAnswer
from godwitshunt.claims.holder import Holder
from godwitshunt.claims.keys import parse_key
from godwitshunt.claims.verdicts import Attempt, Claim, Finish
from godwitshunt.configuration.revision import (
    HolderSet,
    Revision,
    VmRecord,
    VmRole,
)
from godwitshunt.manifest import Manifest
from godwitshunt.membership import (
    MembershipTask,
    UpstreamAnnouncement,
    UpstreamTable,
)
from godwitshunt.membership.events import Announced, RequestSent
from godwitshunt.peer import MessageKind, PeerLinks, PeerOptions
from godwitshunt.settings import Address, EntrySettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService
from standins.ports import free_address

KEY = b'key'
# Envelope and length around a message's body, in bytes.
FRAME_OVERHEAD = 13
DECISIONS_PER_S = 25
ONE_WAY_S = 0.001
VIEWS = 500
WARM_UP_S = 6
# A peer process must not be busy itself: late peers would cost the measured
# one more messages than peers on VMs of their own.
PEER_PROCESSES = 3


class CountingLinks(PeerLinks):
    """Peer links that count what is sent and handled, in bytes."""

    sent_bytes = 0
    sent_messages = 0
    received_bytes = 0
    # One way between failure domains, in seconds; 0 is the bare loopback.
    delay_s = 0

    def notify(self, address, kind, body):
        """Send a message and count it."""
        self.sent_bytes += len(body) + FRAME_OVERHEAD
        self.sent_messages += 1
        super().notify(address, kind, body)

    async def call(self, address, kind, body, timeout_s):
        """Call a peer and count both directions."""
        self.sent_bytes += len(body) + FRAME_OVERHEAD
        self.sent_messages += 1
        await asyncio.sleep(self.delay_s)
        reply = await super().call(address, kind, body, timeout_s)
        await asyncio.sleep(self.delay_s)
        if reply.is_ok():
            self.received_bytes += len(reply.ok_value) + FRAME_OVERHEAD
        return reply

    def subscribe(self, kind, handler):
        """Subscribe a handler whose messages are counted."""
        super().subscribe(kind, partial(self.count_received, handler))

    async def count_received(self, handler, sender, body):
        """Count a message and hand it on."""
        self.received_bytes += len(body) + FRAME_OVERHEAD
        return await handler(sender, body)


def free_addresses(count: int) -> list[Address]:
    """Return loopback addresses that nothing listens on."""
    return [free_address() for _ in range(count)]


def make_vms(addresses: list[Address]) -> tuple[VmRecord, ...]:
    """Return the VMs of one region."""
    return tuple(
        VmRecord(
            name=f'entry-{number:02d}',
            region='split',
            failure_domain=f'split-{number % 3}',
            role=VmRole.entry,
            http=address,
            peer=address,
        )
        for number, address in enumerate(addresses)
    )


def make_revision(
    vms: tuple[VmRecord, ...],
    holders: tuple[HolderSet, ...] = (),
) -> Revision:
    """Return a revision with these VMs."""
    manifest = Manifest.model_validate(
        {
            'number': 1,
            'deployment': 'measure',
            'regions': [{'name': 'split'}],
            'services': [{'name': 'chat', 'kind': 'model'}],
            'classes': [{'name': 'urgent'}],
        },
    )
    return Revision(1, '0' * 64, manifest, vms, holders)


def make_settings(vm: VmRecord, folder: Path | None = None) -> EntrySettings:
    """Return a VM's settings."""
    return EntrySettings(
        name=vm.name,
        region=vm.region,
        failure_domain=vm.failure_domain,
        http=vm.http,
        peer=vm.peer,
        control=(vm.peer,),
        cluster_key_file=Path('unused'),
        data_folder=folder,
    )


async def start_links(
    stack: AsyncExitStack,
    vm: VmRecord,
) -> tuple[CountingLinks, TimerService]:
    """Start a VM's links and timer; the stack closes them."""
    links = CountingLinks(PeerOptions(vm.name, vm.peer, KEY), Metrics())
    await links.start()
    stack.push_async_callback(links.close)
    timer = TimerService()
    stack.callback(timer.close)
    return links, timer


def announcement(sequence: int) -> UpstreamAnnouncement:
    """Return an announcement whose load changes each time."""
    return UpstreamAnnouncement(
        incarnation=1764700000000,
        sequence=sequence,
        service='chat',
        address=Address(host='10.0.0.1', port=8000),
        models=('llama-70b', 'embed-1'),
        slots=64,
        running=sequence % 64,
        queued=sequence % 7,
        queued_tokens=1000 + sequence % 5000,
        measured_age_ms=200,
        cached_added=tuple(range(sequence * 4, sequence * 4 + 4)),
    )


async def announce_for_ever(
    task: MembershipTask,
    number: int,
    upstreams: int,
    vm_count: int,
) -> None:
    """Announce a VM's share of upstreams, each once a second."""
    own = [
        f'engine-{place:04d}'
        for place in range(upstreams)
        if place % vm_count == number
    ]
    sequence = 0
    while own:
        sequence += 1
        for name in own:
            task.announce(name, announcement(sequence))
            await asyncio.sleep(1 / len(own))
    await asyncio.sleep(3600)


async def run_peers(ports: list[int], upstreams: int, share: int) -> None:
    """Run a share of the region's VMs but the first, until killed."""
    addresses = [Address(host='127.0.0.1', port=port) for port in ports]
    vms = make_vms(addresses)
    async with AsyncExitStack() as stack:
        for number in range(1 + share, len(vms), PEER_PROCESSES):
            vm = vms[number]
            links, timer = await start_links(stack, vm)
            task = MembershipTask(make_settings(vm), links, timer, Metrics())
            await task.start()
            task.apply_revision(make_revision(vms))
            asyncio.create_task(  # noqa: RUF006 (ends with the process)
                announce_for_ever(task, number, upstreams, len(vms)),
            )
        await asyncio.sleep(3600)


def peers_main(ports: list[int], upstreams: int, share: int) -> None:
    """Run peers in a process of their own."""
    asyncio.run(run_peers(ports, upstreams, share))


async def measure_region(vm_count: int, upstreams: int, seconds: float) -> dict:
    """Measure the first VM of a region of real processes."""
    addresses = free_addresses(vm_count)
    ports = [address.port for address in addresses]
    shares = [(ports, upstreams, share) for share in range(PEER_PROCESSES)]
    vms = make_vms(addresses)
    async with AsyncExitStack() as stack:
        stack.enter_context(running(peers_main, shares))
        links, timer = await start_links(stack, vms[0])
        task = MembershipTask(make_settings(vms[0]), links, timer, Metrics())
        await task.start()
        stack.push_async_callback(task.close)
        task.apply_revision(make_revision(vms))
        announcing = asyncio.create_task(
            announce_for_ever(task, 0, upstreams, vm_count),
        )
        await asyncio.sleep(WARM_UP_S)
        result = await sample(task, links, seconds)
        announcing.cancel()
    return {'vms': vm_count, 'upstreams': upstreams} | result


async def sample(
    task: MembershipTask,
    links: CountingLinks,
    seconds: float,
) -> dict:
    """Sample a running VM that also decides now and then."""
    before = (links.sent_bytes, links.received_bytes, links.sent_messages)
    cpu_before_s = time.process_time()
    ages = []
    seen = []
    started_s = time.monotonic()
    while time.monotonic() - started_s < seconds:
        view = task.view(0)
        seen.append(len(view.upstreams))
        ages.extend(upstream.report_age_s for upstream in view.upstreams[:5])
        await asyncio.sleep(1 / DECISIONS_PER_S)
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_before_s
    ages.sort()
    return {
        'cpu_percent': round(100 * cpu_s / elapsed_s, 2),
        'sent_bytes_s': round((links.sent_bytes - before[0]) / elapsed_s),
        'received_bytes_s': round(
            (links.received_bytes - before[1]) / elapsed_s,
        ),
        'sent_messages_s': round(
            (links.sent_messages - before[2]) / elapsed_s,
            1,
        ),
        'seen_mean': round(statistics.mean(seen), 1),
        'seen_least': min(seen),
        'report_age_p99_s': round(ages[int(len(ages) * 0.99)], 2),
    }


async def start_holder(
    stack: AsyncExitStack,
    vms: tuple[VmRecord, ...],
    number: int,
    folder: str,
) -> tuple[ClaimsTask, CountingLinks]:
    """Start one holder of a set whose sessions are known beforehand."""
    vm = vms[number]
    links, timer = await start_links(stack, vm)
    place = Path(folder) / vm.name if folder else None
    task = ClaimsTask(make_settings(vm, place), links, timer, Metrics())
    task.holder.table.session = vm.name
    await task.start()
    stack.push_async_callback(task.close)
    links.subscribe(MessageKind.limit_gossip, echo)
    names = tuple(record.name for record in vms)
    holders = HolderSet('split', 1, names, names)
    task.apply_revision(make_revision(vms, (holders,)))
    return task, links


async def run_holder(ports: list[int], number: int, folder: str) -> None:
    """Run one holder until killed."""
    addresses = [Address(host='127.0.0.1', port=port) for port in ports]
    async with AsyncExitStack() as stack:
        await start_holder(stack, make_vms(addresses), number, folder)
        await asyncio.sleep(3600)


def holder_main(ports: list[int], number: int, folder: str) -> None:
    """Run one holder in a process of its own."""
    asyncio.run(run_holder(ports, number, folder))


@contextmanager
def running(target: Callable, arguments: list[tuple]) -> Iterator[None]:
    """Run processes, check that none ended, and kill them."""
    context = multiprocessing.get_context('spawn')
    processes = [context.Process(target=target, args=one) for one in arguments]
    for started in processes:
        started.start()
    try:
        yield
        # A process that lost a port to a stranger falsifies all.
        if not all(process.is_alive() for process in processes):
            raise RuntimeError('a peer process ended')
    finally:
        for ended in processes:
            ended.kill()
            ended.join()


async def claim_one_by_one(
    task: ClaimsTask,
    claims: int,
) -> tuple[list[float], float]:
    """Claim keys; return what each took and the processor time of all."""
    took = []
    cpu_began_s = time.process_time()
    stamp = task.stamp()
    for number in range(claims):
        key = f'{stamp}.measured-{number}'
        digest = hashlib.sha256(key.encode()).digest()
        began_s = time.perf_counter()
        outcome = await task.claim(key, digest, 5)
        took.append(time.perf_counter() - began_s)
        if not isinstance(outcome, Granted):
            raise TypeError(outcome)
    return took, time.process_time() - cpu_began_s


async def measure_claims(
    holder_count: int,
    claims: int,
    *,
    journaled: bool,
    delay_s: float,
) -> dict:
    """Measure claims of one VM at holders on loopback, one at a time."""
    addresses = free_addresses(holder_count)
    ports = [address.port for address in addresses]
    async with AsyncExitStack() as stack:
        made = stack.enter_context(tempfile.TemporaryDirectory())
        folder = made if journaled else ''
        others = [(ports, number, folder) for number in range(1, holder_count)]
        stack.enter_context(running(holder_main, others))
        task, links = await start_holder(stack, make_vms(addresses), 0, folder)
        await asyncio.sleep(4)
        links.delay_s = delay_s
        base_s = await measure_round_trip(links, addresses[1])
        sync_s = measure_sync(Path(made)) if journaled else 0
        took, cpu_s = await claim_one_by_one(task, claims)
    return {
        'holders': holder_count,
        'journaled': journaled,
        'delay_ms': 1000 * delay_s,
        'round_trip_ms': round(1000 * base_s, 3),
        'sync_ms': round(1000 * sync_s, 3),
        'claim_p50_ms': round(1000 * statistics.median(took), 3),
        'ratio': round(statistics.median(took) / (base_s + sync_s), 2),
        'cpu_of_claimer_us': round(1e6 * cpu_s / claims),
    }


async def echo(sender: str, body: bytes) -> bytes:
    """Answer a call with its own body."""
    return body


async def measure_round_trip(links: CountingLinks, peer: Address) -> float:
    """Return the median round trip of an empty call over the same links."""
    took = []
    for _ in range(300):
        began_s = time.perf_counter()
        await links.call(peer, MessageKind.limit_gossip, b'x' * 120, 5)
        took.append(time.perf_counter() - began_s)
    return statistics.median(took)


def measure_sync(folder: Path) -> float:
    """Return the median time of an append and fsync."""
    descriptor = os.open(folder / 'probe', os.O_WRONLY | os.O_CREAT)
    took = []
    for _ in range(100):
        began_s = time.perf_counter()
        os.write(descriptor, b'x' * 150)
        os.fsync(descriptor)
        took.append(time.perf_counter() - began_s)
    os.close(descriptor)
    return statistics.median(took)


def measure_memory(count: int, answer_bytes: int) -> dict:
    """Measure what one kept claim takes in a holder."""
    tracemalloc.start()
    holder = Holder('h0')
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        key = parse_key(f'split.12.345.{number:032d}').unwrap()
        attempt = Attempt(
            key,
            hashlib.sha256(key.text.encode()).digest(),
            'entry-01',
            number + 2**61,
        )
        holder.apply(Claim(attempt), 345, 0.0)
        if answer_bytes:
            body = bytes(answer_bytes)
            holder.apply(
                Finish(attempt, StoredAnswer(200, (), body)),
                345,
                0.0,
            )
        holder.drain_changes()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'claims': count,
        'answer_bytes': answer_bytes,
        'bytes_per_claim': round((after - before) / count),
    }


def measure_table(upstreams: int, prefixes: int) -> dict:
    """Measure one VM's table: memory, and a view after each send."""
    tracemalloc.start()
    table = UpstreamTable('split', lease_s=1e9)
    before, _ = tracemalloc.get_traced_memory()
    body = announcement(1).model_copy(
        update={'cached_added': tuple(range(2**60, 2**60 + prefixes))},
    )
    for number in range(upstreams):
        table.apply(Announced(f'engine-{number:04d}', body), 0)
    table.views(0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now_s = 0.0
    began_s = time.process_time()
    for number in range(VIEWS):
        now_s += 1 / DECISIONS_PER_S
        table.apply(RequestSent(f'engine-{number % upstreams:04d}', 100), now_s)
        table.views(now_s)
    cpu_s = time.process_time() - began_s
    return {
        'upstreams': upstreams,
        'prefixes': prefixes,
        'bytes_per_upstream': round((after - before) / upstreams),
        'us_per_send_and_view': round(1e6 * cpu_s / VIEWS, 1),
    }


def show(rows: list[dict]) -> None:
    """Print rows as JSON lines."""
    for row in rows:
        sys.stdout.write(f'{json.dumps(row)}\n')


def main(*, part: str = 'all', seconds: float = 15) -> None:
    """Measure membership and claims on this machine.

    Parameters
    ----------
    part : str
        ``region``, ``claims``, ``memory`` or ``all``.
    seconds : float
        Seconds for each point of a region.
    """
    if part in {'region', 'all'}:
        points = [(5, 26), (15, 78), (25, 130), (25, 26), (25, 260)]
        show(
            [
                asyncio.run(measure_region(vms, upstreams, seconds))
                for vms, upstreams in points
            ],
        )
    if part in {'claims', 'all'}:
        for count, journaled in product((2, 3, 5), (False, True)):
            for delay_s in (0, ONE_WAY_S):
                measured = measure_claims(
                    count,
                    500,
                    journaled=journaled,
                    delay_s=delay_s,
                )
                show([asyncio.run(measured)])
    if part in {'memory', 'all'}:
        show([measure_memory(20_000, 0), measure_memory(5_000, 2000)])
        show([measure_table(engines, 64) for engines in (3, 130, 520)])


if __name__ == '__main__':
    defopt.run(main)
