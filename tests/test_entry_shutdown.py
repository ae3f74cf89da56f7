"""Graceful shutdown of an entry VM, as processes."""

import asyncio
import json
import os
import signal

import pytest

from demo.layout import Layout
from demo.processes import Processes
from demo.start import start_deployment
from trials.callers import credentials, exchange

TOKENS = 600
TRIES = 300
CALLER = 'zagreb-records'


@pytest.fixture
def region(tmp_path):
    """Yield a region of five processes that is ready, and end it."""
    layout = Layout.from_config(tmp_path, ('zagreb',))
    layout.write()
    processes = Processes(layout)
    try:
        start_deployment(layout, processes)
        yield layout, processes
    finally:
        processes.stop()


async def chat(entry: str, *, stream: bool, tokens: int = TOKENS):
    """Send a chat request; return status, headers and body."""
    document = {
        'model': 'review',
        'messages': [{'role': 'user', 'content': 'who covers pharmacy?'}],
        'max_tokens': tokens,
        'stream': stream,
    }
    return await exchange(
        entry,
        'POST',
        '/v1/chat/completions',
        credentials(CALLER),
        json.dumps(document).encode(),
    )


async def wait_served(entry: str) -> None:
    """Wait until an engine is known."""
    for _ in range(TRIES):
        answer = await chat(entry, stream=False, tokens=1)
        if answer[0] == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(answer)


async def test_second_signal_cuts_nothing(region):
    """An operator restarts a VM while answers are on their way, twice.

    Every answer comes whole, new requests are told to go elsewhere, and the
    process ends by itself.
    """
    layout, processes = region
    entry = layout.of_kind('entry')[0]
    await wait_served(entry.address)
    asked = [
        asyncio.create_task(chat(entry.address, stream=stream))
        for stream in (True, False)
    ]
    process = processes.running[entry.name]
    await asyncio.sleep(0.5)
    os.kill(process.pid, signal.SIGTERM)
    await asyncio.sleep(0.2)
    os.kill(process.pid, signal.SIGTERM)
    status, headers, body = await chat(entry.address, stream=False)
    assert (status, headers['godwitshunt-outcome']) == (503, 'not-run')
    assert json.loads(body)['type'].endswith(':draining')
    async with asyncio.timeout(30):
        answers = await asyncio.gather(*asked)
    assert [answer[0] for answer in answers] == [200, 200]
    assert answers[0][2].count(b'"content"') == TOKENS
    assert answers[0][2].endswith(b'data: [DONE]\n\n')
    assert await asyncio.to_thread(process.wait, 30) == 0
    log = (layout.folder / f'{entry.name}.log').read_text()
    assert log.count('entry:draining') == 1
