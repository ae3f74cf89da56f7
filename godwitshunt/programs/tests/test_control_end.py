"""How a control process ends."""

import asyncio
from types import SimpleNamespace

import pytest

from godwitshunt.programs import control


class FakeProcess:
    """A control process whose disk fails as soon as it has started."""

    fails = True
    closed = False

    def __init__(self, settings) -> None:
        self.consensus = SimpleNamespace(failed=asyncio.Event())

    async def start(self) -> None:
        if self.fails:
            self.consensus.failed.set()

    async def close(self) -> None:
        FakeProcess.closed = True


@pytest.mark.parametrize(('fails', 'code'), [(True, 1), (False, 0)])
async def test_process_ends_where_its_disk_failed(monkeypatch, fails, code):
    """A disk fails under a running replica, which then takes part no more.

    A process that lives on looks well to its supervisor, and nobody repairs
    the replica before the next one is lost.
    """
    monkeypatch.setattr(control, 'ControlProcess', FakeProcess)
    monkeypatch.setattr(FakeProcess, 'fails', fails)
    monkeypatch.setattr(FakeProcess, 'closed', False)
    told = (lambda stop: None) if fails else asyncio.Event.set
    monkeypatch.setattr(control, 'stop_on_signals', told)
    async with asyncio.timeout(30):
        assert await control.run(None) == code
    assert FakeProcess.closed
