"""SIGTERM as the beginning of a graceful shutdown, whatever follows it."""

import asyncio
import signal
from contextlib import suppress
from functools import partial
from types import FrameType


def stop_on_signals(stopping: asyncio.Event) -> None:
    """Set an event on the first SIGTERM or SIGINT; ignore later ones.

    From the first one on the process ignores both, to its very end. Handlers
    would be taken off while the event loop closes and the interpreter ends,
    and a second SIGTERM in those milliseconds would end the process with a
    signal's exit code, which an operator reads as an unclean end.
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
    """Ignore what follows, and set the event on its loop if that runs."""
    for each in (signal.SIGTERM, signal.SIGINT):
        signal.signal(each, signal.SIG_IGN)
    with suppress(RuntimeError):
        loop.call_soon_threadsafe(stopping.set)
