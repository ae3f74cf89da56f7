"""What both stand-ins share: listener, records, announcing, shutdown."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import json_answer
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from godwitshunt.exchange.upstream_messages import REQUEST_ID
from godwitshunt.settings import Address, LimitSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import stop_on_signals
from standins.announcer import Announcer

CONNECTIONS = 8192
RUNS_PATH = '/standin/runs'
LEAVE_PATH = '/standin/leave'
HEALTH_PATHS = ('/healthz', '/readyz')


@dataclass
class Runs:
    """Everything that a stand-in ran.

    Parameters
    ----------
    by_key : Counter
        Runs of each idempotency key.
    prompts : Counter
        Runs of each prompt or call.
    ended, cancelled : int
        Runs that came to their end, and runs whose caller went away.
    """

    by_key: Counter = field(default_factory=Counter)
    prompts: Counter = field(default_factory=Counter)
    ended: int = 0
    cancelled: int = 0

    def begin(self, request: HttpRequest, prompt: str) -> None:
        """Count the start of a run."""
        key = request.header(b'idempotency-key')
        if key is not None:
            self.by_key[key] += 1
        self.prompts[prompt] += 1


@dataclass(kw_only=True)
class HostOptions:
    """What every stand-in is told on its command line."""

    name: str
    region: str
    entries: str
    listen: str
    token: str | None = None

    @property
    def address(self) -> Address:
        """Where the stand-in listens."""
        host, _, port = self.listen.rpartition(':')
        return Address(host=host, port=int(port))


class Host:
    """A stand-in's process.

    Parameters
    ----------
    options : HostOptions
        The command line.
    describe : callable
        Returns what the stand-in announces.
    """

    def __init__(
        self,
        options: HostOptions,
        describe: Callable[[], dict],
    ) -> None:
        self.announcer = Announcer(
            options.name,
            tuple(options.entries.split(',')),
            describe,
            options.token,
        )
        self.region = options.region
        self.runs = Runs()
        self.stopping = asyncio.Event()
        self.listener = Listener(
            ListenerOptions(
                options.address,
                LimitSettings(connections=CONNECTIONS),
            ),
            Metrics(),
            self.handle,
        )

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer a request of the stand-in's own kind."""
        raise NotImplementedError

    async def handle(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer a request or one of the paths for tests."""
        writer.repeat_id(request, REQUEST_ID)
        match request.path:
            case path if path == RUNS_PATH:
                await writer.whole(json_answer(self.tell_runs()))
            case path if path == LEAVE_PATH:
                await self.announcer.leave()
                await writer.whole(json_answer({'leaving': True}))
            case path if path in HEALTH_PATHS:
                await writer.whole(json_answer({'ready': True}))
            case _:
                await self.serve(request, writer)

    def tell_runs(self) -> dict:
        """Return everything that ran here."""
        return {
            'name': self.announcer.name,
            'region': self.region,
            'runs': dict(self.runs.by_key),
            'prompts': dict(self.runs.prompts),
            'executions': self.runs.prompts.total(),
            'ended': self.runs.ended,
            'cancelled': self.runs.cancelled,
        }

    async def start(self) -> None:
        """Listen, then announce."""
        await self.listener.start()
        self.announcer.start()

    async def close(self) -> None:
        """Take no new work, finish what runs, and go."""
        await self.announcer.leave()
        await self.listener.close()
        await self.announcer.close()
        await self.announcer.withdraw()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        stop_on_signals(self.stopping)
        await self.start()
        await self.stopping.wait()
        await self.close()
