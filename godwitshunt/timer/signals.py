"""SIGTERM as the beginning of a graceful shutdown, whatever follows it."""

import asyncio
import signal
from contextlib import suppress
from functools import partial
from types import FrameType


def stop_on_signals(stopping: asyncio.Event) -> None:
    """Set an event on SIGTERM and SIGINT; later signals change nothing.

    The handlers stay until the process is gone. Those of the event loop are
    taken off when the loop closes, and a second SIGTERM in the last
    milliseconds would then end the process with a signal's exit code, which
    an operator reads as an unclean end.
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
    """Set the event on its loop; a loop that has closed needs it no more."""
    with suppress(RuntimeError):
        loop.call_soon_threadsafe(stopping.set)
