"""Log output to a file descriptor by a background thread."""

import os
import threading
import time
from collections import deque
from math import inf
from typing import Any

import orjson

from godwitshunt.telemetry.budget import LineBudget, LineLimits

# Each batch wakes the thread twice. Lines of a kind that was not logged for
# this long are written at once: a process that is killed must not take its last
# decisions with it. Those of requests are too many for that.
FLUSH_INTERVAL_S = 0.25
# Collectors read a pipe in pieces and may cut what was written at once and is
# longer.
MAX_WRITE_BYTES = 8 * 1024
CLOSE_TIMEOUT_S = 0.3
DROPPED_REPORT_INTERVAL_S = 10.0
DROPPED_KIND = 'telemetry:lines_dropped'


class LineOutput:
    """Queues log lines and writes them in batches from a thread.

    Standard output may be a pipe whose reader has stopped; a write then blocks
    indefinitely, and on the event loop it would block every request. The queue
    of the thread is bounded; lines that exceed it are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to.
    limits : LineLimits
        Limits of the line rate and of the queue; None for the defaults.
    """

    def __init__(
        self,
        descriptor: int,
        limits: LineLimits | None = None,
    ) -> None:
        self.descriptor = descriptor
        self.limits = limits or LineLimits()
        self.budget = LineBudget(self.limits)
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.reported_dropped = 0
        self.reported_at_s = 0.0
        self.closing = False
        self.logged_s: dict[str, float] = {}
        self.wake = threading.Event()
        self.urgent = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self.thread.start()

    def close(self) -> None:
        """Write the queued lines, for at most `CLOSE_TIMEOUT_S`."""
        self.closing = True
        self.urgent.set()
        self.wake.set()
        self.thread.join(CLOSE_TIMEOUT_S)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue or drop a line, without blocking."""
        now_s = time.monotonic()
        self.report_dropped(now_s)
        if self.queued_bytes > self.limits.max_queued_bytes:
            self.budget.dropped += 1
        elif self.budget.admit(message, now_s):
            self.enqueue(message)
            if self.is_rare(message, now_s):
                self.urgent.set()

    def is_rare(self, message: dict[str, Any], now_s: float) -> bool:
        """Return whether the last line of this kind was logged long ago."""
        kind = str(message.get('message_type'))
        before_s = self.logged_s.get(kind, -inf)
        self.logged_s[kind] = now_s
        return now_s - before_s > FLUSH_INTERVAL_S

    def enqueue(self, message: dict[str, Any]) -> None:
        """Encode a line and queue it for the writer thread."""
        options = orjson.OPT_APPEND_NEWLINE
        line = orjson.dumps(message, default=repr, option=options)
        self.queue.append(line)
        self.queued_bytes += len(line)
        if not self.wake.is_set():
            self.wake.set()

    def report_dropped(self, now_s: float) -> None:
        """Log the number of lines dropped since the last such report."""
        newly_dropped = self.budget.dropped - self.reported_dropped
        if (
            newly_dropped
            and now_s - self.reported_at_s > DROPPED_REPORT_INTERVAL_S
        ):
            self.reported_dropped = self.budget.dropped
            self.reported_at_s = now_s
            self.enqueue({'message_type': DROPPED_KIND, 'lines': newly_dropped})

    def run(self) -> None:
        """Write batches until closed or until a write fails."""
        written = True
        while written and not (self.closing and not self.queue):
            self.wake.wait()
            self.wake.clear()
            self.urgent.wait(FLUSH_INTERVAL_S)
            if not self.closing:
                self.urgent.clear()
            written = self.write_batch()

    def write_batch(self) -> bool:
        """Write the queued lines; return False if the descriptor is closed."""
        count = len(self.queue)
        batch = b''.join(self.queue.popleft() for _ in range(count))
        remaining = memoryview(batch)
        try:
            while remaining:
                piece = remaining[:MAX_WRITE_BYTES]
                remaining = remaining[os.write(self.descriptor, piece) :]
        except OSError:
            # The log output itself is closed, so the error cannot be logged.
            return False
        finally:
            self.queued_bytes -= len(batch)
        return True
