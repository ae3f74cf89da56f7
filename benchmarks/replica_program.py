"""One replica in a process of its own, driven by lines of JSON on stdin.

Started by `benchmarks.consensus`; it is no product program.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from result import Ok

from godwitshunt.consensus import (
    ConsensusOptions,
    ConsensusTask,
    DiskFileSystem,
    bootstrap,
)
from godwitshunt.peer import PeerLinks, PeerOptions, encode
from godwitshunt.peer.frames import frame
from godwitshunt.peer.gen.wire.ttypes import Envelope
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService

HOST = '127.0.0.1'
KEY = b'benchmark'
ECHO_BYTES = 128


class CountingLinks(PeerLinks):
    """Peer links that count, and may hold up, what replicas send."""

    sent_messages = 0
    sent_bytes = 0
    delay_s = 0.0

    def notify(self, address, kind, body) -> None:
        """Count a message and send it."""
        self.sent_messages += 1
        envelope = Envelope(kind=kind, call=0, reply=False, body=body)
        self.sent_bytes += len(frame(encode(envelope)))
        if self.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, super().notify, address, kind, body)
        else:
            super().notify(address, kind, body)


class Digest:
    """A state machine whose state stays small."""

    def __init__(self) -> None:
        self.applied = 0

    def apply(self, index: int, term: int, payload: bytes) -> None:
        """Count a payload."""
        self.applied += 1

    def take(self) -> bytes:
        """Return the count."""
        return str(self.applied).encode()

    def install(self, state: bytes) -> None:
        """Take up a count."""
        self.applied = int(state)


class Program:
    """The replica and the commands that it takes."""

    def __init__(self, name: str, folder: Path, port: int) -> None:
        self.folder = folder
        address = Address(host=HOST, port=port)
        self.metrics = Metrics()
        self.links = CountingLinks(
            PeerOptions(name=name, listen=address, key=KEY),
            self.metrics,
        )
        self.machine = Digest()
        self.task = ConsensusTask.from_config(
            ConsensusOptions(name, address),
            DiskFileSystem.from_config(folder),
            self.links,
            TimerService(),
            self.metrics,
        )
        self.task.subscribe(
            self.machine.apply,
            self.machine.take,
            self.machine.install,
        )

    async def start(self) -> dict:
        """Start; tell what the disk held."""
        began = time.perf_counter()
        await self.links.start()
        await self.task.start()
        state = self.task.replica.state
        snapshot = 0 if state.snapshot is None else state.snapshot.index
        return {
            'start_s': time.perf_counter() - began,
            'snapshot_index': snapshot,
            'tail_entries': state.log.last_index - snapshot,
            'last_index': state.log.last_index,
        }

    async def bootstrap(self, ports: list[int]) -> dict:
        """Start a cluster."""
        addresses = tuple(Address(host=HOST, port=port) for port in ports)
        return {'ok': (await bootstrap(self.task, addresses)).is_ok()}

    async def status(self) -> dict:
        """Tell who leads."""
        leadership = self.task.leadership()
        return {
            'leader': leadership.name,
            'is_leader': leadership.is_leader,
            'term': leadership.term,
        }

    async def commit(self, count: int, together: int, size: int) -> dict:
        """Commit payloads; tell each latency in seconds."""
        latencies: list[float] = []
        for _ in range(0, count, together):
            jobs = [self.commit_one(size) for _ in range(together)]
            latencies.extend(await asyncio.gather(*jobs))
        return {'latencies': latencies}

    async def commit_one(self, size: int) -> float:
        """Commit one payload; return the latency in seconds."""
        began = time.perf_counter()
        outcome = await self.task.propose(bytes(size))
        if not isinstance(outcome, Ok):
            raise RuntimeError(outcome)
        return time.perf_counter() - began

    async def hold_up(self, delay_s: float) -> dict:
        """Send each message so many seconds late, as over a long link."""
        self.links.delay_s = delay_s
        return {}

    async def counters(self) -> dict:
        """Tell what was sent, and the processor time spent."""
        return {
            'messages': self.links.sent_messages,
            'bytes': self.links.sent_bytes,
            'cpu_s': time.process_time(),
            'at_s': time.perf_counter(),
        }

    async def sync_times(self, count: int, size: int) -> dict:
        """Write and sync beside the log; tell each duration in seconds."""
        files = DiskFileSystem.from_config(self.folder / 'probe')
        files.open()
        durations: list[float] = []
        for _ in range(count):
            began = time.perf_counter()
            files.append('probe', bytes(size))
            files.sync('probe')
            durations.append(time.perf_counter() - began)
        files.close()
        return {'durations': durations}

    async def echo_server(self) -> dict:
        """Listen for plain echoes; tell the port."""
        server = await asyncio.start_server(echo, HOST, 0)
        return {'port': server.sockets[0].getsockname()[1]}

    async def echo_times(self, port: int, count: int) -> dict:
        """Make plain TCP round trips; tell each duration in seconds."""
        reader, writer = await asyncio.open_connection(HOST, port)
        durations: list[float] = []
        for _ in range(count):
            began = time.perf_counter()
            writer.write(bytes(ECHO_BYTES))
            await reader.readexactly(ECHO_BYTES)
            durations.append(time.perf_counter() - began)
        writer.close()
        return {'durations': durations}


async def echo(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send back what comes."""
    while True:
        chunk = await reader.read(ECHO_BYTES)
        if not chunk:
            return
        writer.write(chunk)


async def main() -> None:
    """Answer one line of JSON for each line of JSON."""
    program = Program(sys.argv[1], Path(sys.argv[2]), int(sys.argv[3]))
    notify(await program.start())
    reader = asyncio.StreamReader(limit=1 << 24)
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    while True:
        line = await reader.readline()
        if not line:
            return
        command, arguments = json.loads(line)
        notify(await getattr(program, command)(**arguments))


def notify(answer: dict) -> None:
    """Write one answer."""
    sys.stdout.write(f'{json.dumps(answer)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    asyncio.run(main())
