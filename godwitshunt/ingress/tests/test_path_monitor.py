"""What an entry VM does when its connections to upstreams fail."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace

import pytest

from godwitshunt.ingress.feedback import AttemptFeedback, CompletedAttempt
from godwitshunt.ingress.outcomes import Lost, NotRun
from godwitshunt.ingress.path_monitor import PathMonitor, WatchedAttempt
from godwitshunt.ingress.path_prober import PathProber
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.routing.upstream_paths import (
    ProbeResult,
    ProbeTarget,
    Suspicion,
)
from godwitshunt.settings import Address
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import TimerService

HOST = '127.0.0.1'


def monitor_of(results, **fields) -> PathMonitor:
    """Return a monitor whose probes end with these results, in turn."""
    remaining = iter(results)

    async def probe(target, suspicion):
        await asyncio.sleep(0)
        return next(remaining)

    targets = [
        ProbeTarget(name, Address(host=HOST, port=1), name, '/healthz')
        for name in ('i-2', 'i-3')
    ]
    return PathMonitor(
        SimpleNamespace(probe=probe),
        TimerService(),
        Metrics(),
        targets=lambda: targets,
        **fields,
    )


def feedback_of(monitor, recorded) -> AttemptFeedback:
    """Return the feedback of a request; reports are appended to a list."""
    context = SimpleNamespace(
        path_monitor=monitor,
        timer=monitor.timer,
        metrics=monitor.metrics,
        upstreams=Upstreams(),
        attempt_recorder=SimpleNamespace(
            record=lambda report, service, now_s: None
        ),
        picker=SimpleNamespace(report_attempt=recorded.append),
        crash_detector=SimpleNamespace(record_loss=lambda *lost: None),
    )
    request = SimpleNamespace(
        id='r',
        service=SimpleNamespace(name='llm'),
        route=SimpleNamespace(name='r'),
        fingerprint=b'',
        prompt=Prompt(),
    )
    return AttemptFeedback(context, request)


def failed_attempt(outcome) -> CompletedAttempt:
    """Return an attempt that failed before any answer."""
    announcement = SimpleNamespace(
        incarnation='i-1', address=None, draining=False
    )
    choice = SimpleNamespace(
        upstream=SimpleNamespace(announcement=announcement),
        predicted_s=0.1,
        unread_tokens=0,
        waiting_tokens=0,
        is_cold=False,
    )
    attempt = SimpleNamespace(
        misdirected=False,
        connected=isinstance(outcome, Lost),
        answer_started=False,
        closed_by_peer=False,
    )
    return CompletedAttempt(choice, attempt, outcome, None, 0.1)


@pytest.mark.parametrize('outcome', [NotRun('connect'), Lost('silent')])
@pytest.mark.parametrize(
    ('results', 'reports'),
    [
        ((ProbeResult.refused, ProbeResult.silent), 0),
        ((ProbeResult.refused, ProbeResult.answered), 1),
    ],
)
async def test_failures_of_a_vm_without_paths_are_not_reported(
    outcome, results, reports
):
    """Its picker would take upstreams from VMs that reach them."""
    recorded = []
    monitor = monitor_of(results)
    feedback_of(monitor, recorded).report_upstream(failed_attempt(outcome))
    assert not recorded
    await monitor.wait_checked()
    assert len(recorded) == reports


async def test_paths_that_are_back_are_told():
    """Callers would go on to be served by way of another VM."""
    changes = []
    failed, answered = ProbeResult.silent, ProbeResult.answered
    results = (failed, failed, answered, failed, answered, failed)
    monitor = monitor_of(results, on_change=lambda: changes.append('change'))
    monitor.suspect(Suspicion.connection, 'i-1', 'r')
    await monitor.wait_checked()
    assert monitor.are_lost
    for _ in range(2):
        await monitor.probe_round()
    assert not monitor.are_lost
    assert len(changes) == 2


@pytest.mark.parametrize(
    ('since_s', 'sent_s', 'checks'),
    [(0.1, 1.0, 0), (1.0, 0.3, 0), (1.0, 1.0, 1)],
)
async def test_silence_of_all_upstreams_is_checked(since_s, sent_s, checks):
    """A request that may run once waits for its deadline otherwise."""
    monitor = monitor_of((ProbeResult.answered, ProbeResult.answered))
    now_s = monitor.timer.now()
    monitor.received_s = now_s - since_s
    attempt = SimpleNamespace(answer_started=False, call=None)
    watched = WatchedAttempt('i-1', 'r', attempt, 0.1, may_repeat=False)
    watched.sent_s = now_s - sent_s
    monitor.attempts.add(watched)
    monitor.watch()
    assert len(monitor.background.tasks) == checks
    await monitor.close()


async def probe_result(answer, suspicion=Suspicion.connection) -> ProbeResult:
    """Return the result of a probe of a server that answers so."""

    async def accept(reader, writer):
        with suppress(ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            await answer(writer)

    server = await asyncio.start_server(accept, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    address = Address(host=HOST, port=port)
    target = ProbeTarget('i-1', address, 'a', '/healthz')
    probed = await PathProber().probe(target, suspicion)
    server.close()
    return probed


async def refuse(writer):
    """Answer with a refusal."""
    writer.write(b'HTTP/1.1 503 Full\r\n')


async def reset(writer):
    """Reset the connection."""
    writer.transport.abort()


async def wait(writer):
    """Answer nothing for as long as a probe waits."""
    await asyncio.sleep(0.4)
    writer.close()


@pytest.mark.parametrize(
    ('answer', 'suspicion', 'expected'),
    [
        (refuse, Suspicion.connection, ProbeResult.answered),
        (reset, Suspicion.connection, ProbeResult.refused),
        (wait, Suspicion.connection, ProbeResult.accepted),
        (wait, Suspicion.silence, ProbeResult.accepted),
    ],
)
async def test_probe_tells_a_busy_upstream_from_a_lost_path(
    answer, suspicion, expected
):
    """A full upstream refuses or delays its health check."""
    assert await probe_result(answer, suspicion) is expected


async def test_probe_of_a_closed_port_fails():
    """A process that has ended refuses connections."""
    target = ProbeTarget('i-1', Address(host=HOST, port=1), 'a', '/healthz')
    probed = await PathProber().probe(target, Suspicion.connection)
    assert probed is ProbeResult.refused


async def test_check_ends_with_the_first_upstream_that_is_reached():
    """Some upstreams are down: each check would wait for their time-outs."""

    async def probe(target, suspicion):
        if target.instance == 'i-2':
            return ProbeResult.accepted
        await asyncio.sleep(5.0)

    monitor = monitor_of(())
    monitor.prober = SimpleNamespace(probe=probe)
    monitor.suspect(Suspicion.connection, 'i-1', 'r')
    async with asyncio.timeout(1.0):
        await monitor.wait_checked()
    assert not monitor.are_lost


@pytest.mark.parametrize(
    ('ended', 'read_paused', 'is_open'),
    [(False, False, True), (True, False, False), (False, True, False)],
)
def test_open_connection_of_an_attempt(ended, read_paused, is_open):
    """A process that has ended would be taken for one that is up."""
    channel = SimpleNamespace(ended=ended, read_paused=read_paused)
    attempt = SimpleNamespace(call=SimpleNamespace(channel=channel))
    watched = WatchedAttempt('i-1', 'r', attempt, 0.1, may_repeat=False)
    assert watched.is_connection_open is is_open
