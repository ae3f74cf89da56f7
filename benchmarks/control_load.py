"""Processor time of a control VM for the messages of entry VMs.

``python -m benchmarks.control_load`` runs control VMs and entry VMs in one
process, linked in memory, and prints the time that one control VM spends on
each kind of message. Connections and the network are not included.
"""

import asyncio
import gc
import os
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

import defopt
import eliot

from godwitshunt.peer import MessageKind
from godwitshunt.picking.attempt_reports import AttemptReport, AttemptResult
from godwitshunt.picking.choices import SendHere
from godwitshunt.picking.tests.region import (
    SHORT,
    Entry,
    PickedRegion,
    engine,
)
from godwitshunt.registry.tests.deployment import Handler, address
from godwitshunt.routing.selection import Demand
from godwitshunt.telemetry.output import LineOutput

MICROSECONDS = 1_000_000
# Failure domain of each control VM.
CONTROLS = 'aabbb'
STEP_S = 0.005
# Steps between ticks, polls of control VMs, announcements and polls of an
# entry VM.
TICK_STEPS = 50
PEER_STEPS = 40
ANNOUNCE_STEPS = 240
POLL_STEPS = 140
SLOTS = 12
PREFIXES = 400
LONG_SHARE = 0.1
ANSWER_STEPS = (20, 160)


@dataclass
class Spent:
    """Processor time and number of calls by kind."""

    seconds: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    calls: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, kind: str, begin_s: float) -> None:
        """Count one call."""
        self.seconds[kind] += time.process_time() - begin_s
        self.calls[kind] += 1

    async def handle(
        self, kind: str, handler: Handler, sender: str, body: bytes
    ) -> bytes | None:
        """Handle a message and measure that."""
        begin_s = time.process_time()
        reply = await handler(sender, body)
        self.add(kind, begin_s)
        return reply

    def call(self, kind: str, function: Callable) -> None:
        """Measure one call."""
        begin_s = time.process_time()
        function()
        self.add(kind, begin_s)


@dataclass(frozen=True)
class Running:
    """A request at an upstream."""

    ends_step: int
    entry: Entry
    name: str
    number: int
    choice: SendHere

    def end(self) -> None:
        """Record its answer."""
        tokens = self.choice.unread_tokens
        self.entry.end(self.name, self.number, tokens)
        report = AttemptReport(
            self.name,
            'llm',
            AttemptResult.answered,
            first_s=0.1,
            took_s=0.4,
            predicted_s=self.choice.predicted_s,
            unread_tokens=tokens,
        )
        self.entry.reports.attempts.append(report)


class ControlLoad:
    """Control VMs and entry VMs of two regions, and the load of one picker."""

    def __init__(self, entries: int, upstreams: int, per_s: float) -> None:
        self.random = Random(1)
        self.per_step = per_s * STEP_S
        self.region = PickedRegion(dict(enumerate(CONTROLS, 1)))
        self.upstreams = [
            engine(f'i-{number}', 'ab'[number % 2], slots=SLOTS)
            for number in range(upstreams)
        ]
        self.entries = [
            self.region.start_entry(100 + number, 'ab'[number >= entries // 2])
            for number in range(entries)
        ]
        self.local = self.entries[: entries // 2]
        self.running: list[Running] = []
        self.spent = Spent()

    async def start(self) -> None:
        """Exchange all tables, and measure the first control VM's handlers."""
        self.announce(1)
        await self.region.settle(*self.entries)
        handlers = self.region.network.handlers[address(1)]
        for kind, handler in tuple(handlers.items()):
            name = MessageKind(kind).name
            handlers[kind] = partial(self.spent.handle, name, handler)
        gc.collect()
        gc.freeze()

    def announce(self, sequence: int) -> None:
        """Announce each upstream to one of the control VMs."""
        for number, upstream in enumerate(self.upstreams):
            control = 1 + number % len(CONTROLS)
            announcement = replace(upstream, sequence=sequence)
            self.region.announce(control, announcement)

    async def run_step(self, step: int) -> None:
        """Run everything that is due."""
        region = self.region
        region.timer.advance(STEP_S)
        if not step % TICK_STEPS:
            self.spent.call('registry tick', region.controls[1].tick)
            self.spent.call('picker tick', region.pickers[1].tick)
        if not step % PEER_STEPS:
            await region.exchange()
        if not step % ANNOUNCE_STEPS:
            self.announce(step + 2)
        for number, entry in enumerate(self.local):
            if not (step + 3 * number) % POLL_STEPS:
                await region.poll(entry.watch, 1)
        whole, part = divmod(self.per_step, 1)
        for _ in range(int(whole) + (self.random.random() < part)):
            await self.request(step)
        ended = [one for one in self.running if one.ends_step <= step]
        for request in ended:
            self.running.remove(request)
            request.end()

    async def request(self, step: int) -> None:
        """Request a destination and begin the request there."""
        demand = SHORT
        if self.random.random() < LONG_SHARE:
            key = self.random.randrange(PREFIXES)
            demand = Demand(17_020, 13_300, key)
        entry = self.random.choice(self.local)
        choice = await entry.request_destination(demand)
        if isinstance(choice, SendHere):
            name = choice.upstream.announcement.incarnation
            number = entry.begin(name, choice.unread_tokens)
            ends_step = step + self.random.randrange(*ANSWER_STEPS)
            request = Running(ends_step, entry, name, number, choice)
            self.running.append(request)


async def run(
    entries: int, upstreams: int, per_s: float, seconds: float
) -> Spent:
    """Return what a control VM spent."""
    load = ControlLoad(entries, upstreams, per_s)
    await load.start()
    for step in range(int(seconds / STEP_S)):
        await load.run_step(step)
    return load.spent


def show(
    *,
    entries: int = 80,
    upstreams: int = 62,
    per_s: float = 300.0,
    seconds: float = 4.0,
) -> None:
    """Print the processor time of a control VM.

    Parameters
    ----------
    entries : int
        Entry VMs of both regions.
    upstreams : int
        Upstreams of both regions.
    per_s : float
        Questions per second to one picker.
    seconds : float
        Simulated seconds.
    """
    output = LineOutput(os.open(os.devnull, os.O_WRONLY))
    output.start()
    eliot.add_destinations(output)
    spent = asyncio.run(run(entries, upstreams, per_s, seconds))
    for kind, spent_s in sorted(spent.seconds.items()):
        each_us = spent_s / spent.calls[kind] * MICROSECONDS
        share = spent_s / seconds
        print(f'{kind:16}{each_us:8.1f} us each, {share:6.2%} of a core')


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(show))


if __name__ == '__main__':
    main()
