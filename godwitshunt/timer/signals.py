"""Graceful shutdown on the first SIGTERM or SIGINT."""

import asyncio
import signal
from contextlib import suppress
from functools import partial
from types import FrameType


def stop_on_signals(stopping: asyncio.Event) -> None:
    """Set an event on the first SIGTERM or SIGINT; ignore later ones.

    After the first signal the process ignores both until it has exited.
    Handlers would be removed while the event loop closes and the interpreter
    exits; a second SIGTERM in those milliseconds would end the process with a
    signal's exit code, which operators take for an unclean shutdown.
    """
    handler = partial(stop, asyncio.get_running_loop(), stopping)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handler)


def stop(
    loop: asyncio.AbstractEventLoop,
    stopping: asyncio.Event,
    number: int,
    frame: FrameType | None,
) -> None:
    """Ignore further signals and set the event, if its loop still runs."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, signal.SIG_IGN)
    with suppress(RuntimeError):
        loop.call_soon_threadsafe(stopping.set)
