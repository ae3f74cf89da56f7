"""What an entry costs: against calling the stand-ins directly, in one run.

    python -m benchmarks.exchange --streams 100

starts one entry and two engines as processes of their own on loopback
addresses, and sends the same requests to an engine and through the entry.
"""

import asyncio
import hashlib
import json
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

import defopt

from godwitshunt.exchange.channel import Channel
from standins.ports import free_port

PAGE_BYTES = 4096
READY_S = 10.0
PERCENT_50 = 0.5
PERCENT_99 = 0.99
MILLISECONDS = 1000
MICROSECONDS = 1_000_000
KIBIBYTE = 1024
RATE_S = 4.0
RATE_WORKERS = 32
EVENT_END = b'\n\n'
MARK = b': at '
FINAL = b'0\r\n\r\n'


def sha256(text: bytes) -> str:
    """Return a digest in hexadecimal."""
    return hashlib.sha256(text).hexdigest()


MANIFEST = MappingProxyType(
    {
        'number': 1,
        'deployment': 'benchmark',
        'regions': [{'name': 'home', 'failure_domains': ['a']}],
        'services': [
            {'name': 'chat', 'kind': 'model'},
            {'name': 'archive', 'kind': 'plain'},
        ],
        'models': [{'name': 'review', 'service': 'chat'}],
        'classes': [{'name': 'urgent', 'deadline_s': 600}],
        'callers': [
            {
                'name': 'caller',
                'key_sha256': sha256(b'key'),
                'home': 'home',
                'request_class': 'urgent',
                'requests_per_s': 100000,
                'burst': 100000,
            },
        ],
    },
)


def place(port: int) -> dict:
    """Return a loopback address."""
    return {'host': '127.0.0.1', 'port': port}


@dataclass
class Places:
    """Processes of a measurement."""

    folder: Path
    entry: int = 0
    service: int = 0
    engines: list[int] = field(default_factory=list)
    processes: list[subprocess.Popen] = field(default_factory=list)

    def start(self, decode_rate: float, engine_count: int, slots: int) -> None:
        """Start a control VM, an entry VM, a service and engines."""
        self.entry = free_port()
        control = free_port()
        peer = free_port()
        shared = {
            'region': 'home',
            'failure_domain': 'a',
            'control': [place(peer)],
            'cluster_key_file': str(self.folder / 'key'),
        }
        self.write('key', 'cluster')
        self.write('token', 'token')
        self.write('manifest.json', dict(MANIFEST))
        self.write(
            'control.json',
            {
                **shared,
                'name': 'control-1',
                'http': place(control),
                'peer': place(peer),
                'data_folder': str(self.folder / 'data'),
                'operator_token_sha256': sha256(b'token'),
                'log': {'path': str(self.folder / 'control.log')},
            },
        )
        self.write(
            'entry.json',
            {
                **shared,
                'name': 'entry-1',
                'http': place(self.entry),
                'peer': place(free_port()),
                'log': {'path': str(self.folder / 'entry.log')},
            },
        )
        self.run('godwitshunt.programs.entry', str(self.folder / 'entry.json'))
        self.run(
            'godwitshunt.programs.control',
            str(self.folder / 'control.json'),
        )
        self.operate(control, 'init')
        manifest = str(self.folder / 'manifest.json')
        self.operate(control, 'apply', '--manifest', manifest)
        self.start_upstreams(decode_rate, engine_count, slots)

    def start_upstreams(
        self,
        decode_rate: float,
        engine_count: int,
        slots: int,
    ) -> None:
        """Start the stand-ins."""
        entries = f'127.0.0.1:{self.entry}'
        told = ('--region', 'home', '--entries', entries)
        self.service = free_port()
        listen = f'127.0.0.1:{self.service}'
        self.run(
            'standins.service',
            '--name',
            'service-1',
            '--listen',
            listen,
            *told,
        )
        for index in range(engine_count):
            port = free_port()
            self.engines.append(port)
            self.run(
                'standins.engine',
                '--name',
                f'engine-{index}',
                *told,
                '--listen',
                f'127.0.0.1:{port}',
                '--decode-rate',
                str(decode_rate),
                '--slots',
                str(slots),
                '--prefill-rate',
                '10000000',
                '--load-lag-s',
                '0',
                '--stamped',
            )

    def write(self, name: str, content: str | dict) -> None:
        """Write a file."""
        text = content if isinstance(content, str) else json.dumps(content)
        (self.folder / name).write_text(text)

    def operate(self, control: int, command: str, *options: str) -> None:
        """Run the operator's command line until it succeeds."""
        line = [
            *(sys.executable, '-m', 'godwitshunt.programs.operator', command),
            *options,
            *('--control', f'127.0.0.1:{control}'),
            *('--token-file', str(self.folder / 'token')),
        ]
        end_s = time.perf_counter() + READY_S
        while subprocess.run(line, capture_output=True, check=False).returncode:
            if time.perf_counter() > end_s:
                raise TimeoutError(command)
            time.sleep(0.1)

    def run(self, *command: str) -> None:
        """Start a process."""
        self.processes.append(
            subprocess.Popen([sys.executable, '-m', *command]),
        )

    def close(self) -> None:
        """End every process."""
        for process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait()

    def entry_memory(self) -> int:
        """Return the entry's resident memory in bytes."""
        told = Path(f'/proc/{self.processes[0].pid}/statm').read_text()
        return int(told.split()[1]) * PAGE_BYTES

    def entry_cpu_s(self) -> float:
        """Return the processor time of the entry in seconds."""
        told = Path(f'/proc/{self.processes[0].pid}/stat').read_text()
        parts = told.rpartition(')')[2].split()
        return (int(parts[11]) + int(parts[12])) / 100


def chat(prompt: str, tokens: int, *, stream: bool) -> bytes:
    """Return a chat request as it goes over the wire."""
    document = {
        'model': 'review',
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': stream,
    }
    body = json.dumps(document).encode()
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        'Authorization: Bearer key\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def look_up(path: str) -> bytes:
    """Return a call of the plain service."""
    head = (
        f'GET {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n\r\n'
    )
    return head.encode()


async def connect(port: int) -> Channel:
    """Return a connection."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(Channel, '127.0.0.1', port)
    return channel


async def ask(channel: Channel, sent: bytes) -> bytes:
    """Send a unary request; return head and body."""
    channel.write(sent)
    told = await channel.read()
    while EVENT_END not in told.replace(b'\r\n\r\n', EVENT_END):
        told += await channel.read()
    head, _, body = told.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    while len(body) < length:
        body += await channel.read()
    if b' 200 ' not in head.partition(b'\r\n')[0]:
        raise RuntimeError(told.decode())
    return body


def quantile(times: list[float], share: float) -> float:
    """Return a quantile."""
    return sorted(times)[min(len(times) - 1, int(len(times) * share))]


async def latency(port: int, path: str, count: int) -> list[float]:
    """Return seconds of calls sent one after another."""
    channel = await connect(port)
    times = []
    for number in range(count):
        begin_s = time.perf_counter()
        await ask(channel, look_up(f'{path}/{number}'))
        times.append(time.perf_counter() - begin_s)
    channel.close()
    return times


async def throughput(port: int, path: str, workers: int, end_s: float) -> int:
    """Return calls that were answered over several connections."""
    return sum(
        await asyncio.gather(
            *(work(port, path, end_s) for _ in range(workers)),
        ),
    )


async def work(port: int, path: str, end_s: float) -> int:
    """Send calls one after another until a time; return their number."""
    channel = await connect(port)
    count = 0
    while time.perf_counter() < end_s:
        await ask(channel, look_up(path))
        count += 1
    channel.close()
    return count


@dataclass
class StreamTimes:
    """Arrival of a stream's tokens.

    Parameters
    ----------
    delays : list of float
        Seconds from the engine's sending of each token to its arrival.
    """

    delays: list[float] = field(default_factory=list)
    first_s: float = 0.0
    last_s: float = 0.0


async def read_stream(port: int, sent: bytes) -> StreamTimes:
    """Read one stream to its end."""
    channel = await connect(port)
    channel.write(sent)
    times = StreamTimes()
    rest = b''
    while not rest.endswith(FINAL):
        told = await channel.read()
        if not told:
            raise RuntimeError(rest.decode())
        now = time.monotonic()
        whole, mark, rest = (rest + told).rpartition(EVENT_END)
        times.delays += [now - sent_s for sent_s in marks(whole)]
        times.first_s = times.first_s or now
        times.last_s = now
        rest = rest if mark else whole + rest
    channel.close()
    return times


def marks(events: bytes) -> list[float]:
    """Return when the engine sent each of these events."""
    stamped = events.split(MARK)[1:]
    return [float(part.partition(b'\n')[0]) for part in stamped]


async def stream_all(
    ports: list[int],
    streams: int,
    tokens: int,
) -> tuple[float, list[float]]:
    """Read many streams at once; return tokens a second and the delays."""
    told = await asyncio.gather(
        *(
            read_stream(
                ports[index % len(ports)],
                chat(f'stream {index}', tokens, stream=True),
            )
            for index in range(streams)
        ),
    )
    begin_s = min(times.first_s for times in told)
    end_s = max(times.last_s for times in told)
    delays = [delay for times in told for delay in times.delays]
    return len(delays) / (end_s - begin_s), delays


async def wait_ready(places: Places) -> None:
    """Wait until the entry routes to every engine."""
    end_s = time.perf_counter() + READY_S
    while time.perf_counter() < end_s:
        try:
            channel = await connect(places.entry)
            await ask(channel, chat('ready?', 1, stream=False))
        except (OSError, RuntimeError, IndexError):
            await asyncio.sleep(0.1)
            continue
        channel.close()
        await asyncio.sleep(1)
        return
    raise TimeoutError


def tell(name: str, direct: list[float], through: list[float]) -> None:
    """Print two distributions side by side."""
    for label, share in (('p50', PERCENT_50), ('p99', PERCENT_99)):
        first = quantile(direct, share) * MILLISECONDS
        second = quantile(through, share) * MILLISECONDS
        ratio = second / first if first else 0.0
        print(
            f'{name} {label}: direct {first:.2f} ms, through {second:.2f} ms, '
            f'ratio {ratio:.2f}, added {second - first:.2f} ms',
        )


async def measure_calls(places: Places) -> None:
    """Print latency and rate of unary calls."""
    through = '/services/archive/x'
    direct_s, through_s = [], []
    await latency(places.entry, through, 50)
    for _ in range(5):
        direct_s += await latency(places.service, '/x', 200)
        through_s += await latency(places.entry, through, 200)
    tell('unary latency', direct_s, through_s)
    for name, port, path in (
        ('direct', places.service, '/x'),
        ('through', places.entry, through),
    ):
        begin_s = places.entry_cpu_s()
        end_s = time.perf_counter() + RATE_S
        count = await throughput(port, path, RATE_WORKERS, end_s)
        spent = (places.entry_cpu_s() - begin_s) / RATE_S
        print(
            f'{name}: {count / RATE_S:.0f} calls/s, entry {spent:.0%} of a core'
        )


async def measure_streams(places: Places, streams: int, tokens: int) -> None:
    """Print tokens a second, added delay, and memory."""
    direct_rate, direct_s = await stream_all(places.engines, streams, tokens)
    begin_cpu_s = places.entry_cpu_s()
    idle_bytes = places.entry_memory()
    begin_s = time.perf_counter()
    streaming = asyncio.create_task(
        stream_all([places.entry], streams, tokens),
    )
    await asyncio.sleep(0.5)
    held_bytes = places.entry_memory() - idle_bytes
    rate, through_s = await streaming
    spent_s = places.entry_cpu_s() - begin_cpu_s
    share = spent_s / (time.perf_counter() - begin_s)
    print(
        f'{streams} streams: direct {direct_rate:.0f} tokens/s, '
        f'through {rate:.0f}, ratio {rate / direct_rate:.2f}, '
        f'entry {share:.0%} of a core, '
        f'{spent_s / len(through_s) * MICROSECONDS:.0f} us a token',
    )
    tell('delay of a token', direct_s, through_s)
    print(f'memory: {held_bytes / streams / KIBIBYTE:.1f} KiB a stream')


async def measure(places: Places, streams: int, tokens: int) -> None:
    """Print every figure."""
    await wait_ready(places)
    await measure_calls(places)
    await measure_streams(places, streams, tokens)


def exchange(
    *,
    streams: int = 100,
    tokens: int = 600,
    decode_rate: float = 150.0,
    engines: int = 2,
) -> None:
    """Measure what an entry costs.

    Parameters
    ----------
    streams : int
        Streams read at once.
    tokens : int
        Tokens of each stream.
    decode_rate : float
        Tokens a second of each stream at the engines.
    engines : int
        Engines that the streams are spread over.
    """
    with tempfile.TemporaryDirectory() as folder:
        places = Places(Path(folder))
        try:
            places.start(decode_rate, engines, streams)
            asyncio.run(measure(places, streams, tokens))
        finally:
            places.close()


if __name__ == '__main__':
    defopt.run(exchange)
