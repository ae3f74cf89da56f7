"""Log lines to a descriptor, by a thread that alone waits for its reader."""

import os
import threading
import time
from collections import deque
from typing import Any

import orjson

from godwitshunt.telemetry.budget import LineBudget, LineLimits

FLUSH_S = 0.1
CLOSE_S = 0.3
NOTICE_S = 10.0
DROPPED = 'telemetry:lines_dropped'


class LineOutput:
    """Takes log lines and writes them in batches.

    Standard output may be a pipe that nobody reads: a write then waits for
    ever, and with it every request of the process. So a thread writes, what
    waits for it is bounded, and what does not fit is counted and dropped.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    limits : LineLimits
        Lines in a second, and bytes that may wait.
    """

    def __init__(
        self,
        descriptor: int,
        limits: LineLimits | None = None,
    ) -> None:
        self.descriptor = descriptor
        self.limits = limits or LineLimits()
        self.budget = LineBudget(self.limits)
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.told = 0
        self.told_at_s = 0.0
        self.closing = False
        self.wake = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self.thread.start()

    def close(self) -> None:
        """Write what waits, for a bounded time."""
        self.closing = True
        self.wake.set()
        self.thread.join(CLOSE_S)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a line; never waits."""
        now_s = time.monotonic()
        self.tell_dropped(now_s)
        if self.waiting_bytes > self.limits.waiting_bytes:
            self.budget.dropped += 1
        elif self.budget.admits(message, now_s):
            self.put(message)

    def put(self, message: dict[str, Any]) -> None:
        """Queue a line for the thread."""
        options = orjson.OPT_APPEND_NEWLINE
        line = orjson.dumps(message, default=repr, option=options)
        self.waiting.append(line)
        self.waiting_bytes += len(line)
        if not self.wake.is_set():
            self.wake.set()

    def tell_dropped(self, now_s: float) -> None:
        """Queue a line that says how many were dropped since the last one."""
        fresh = self.budget.dropped - self.told
        if fresh and now_s - self.told_at_s > NOTICE_S:
            self.told = self.budget.dropped
            self.told_at_s = now_s
            self.put({'message_type': DROPPED, 'lines': fresh})

    def run(self) -> None:
        """Write batches until closed."""
        written = True
        while written and not (self.closing and not self.waiting):
            self.wake.wait()
            self.wake.clear()
            if not self.closing:
                time.sleep(FLUSH_S)
            written = self.write_batch()

    def write_batch(self) -> bool:
        """Write what waits; False where nobody can read it any more."""
        count = len(self.waiting)
        batch = b''.join(self.waiting.popleft() for _ in range(count))
        rest = memoryview(batch)
        try:
            while rest:
                rest = rest[os.write(self.descriptor, rest) :]
        except OSError:
            # Standard output is closed: there is nowhere to tell it.
            return False
        finally:
            self.waiting_bytes -= len(batch)
        return True
