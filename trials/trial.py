"""A trial: mixed requests through real processes while faults strike.

``python -m trials.trial --requests 5000 --seed 7`` runs a long one and prints a
table: promise, checks made, violations.
"""

import asyncio
import json
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path

import defopt

from demo.layout import REGIONS, make_manifest
from trials.callers import (
    DIRECTORY_LOST,
    LOST,
    Ending,
    Kind,
    Request,
    TrialCaller,
    exchange,
)
from trials.deployment import ALL_NETWORKS, Deployment
from trials.faults import plan_faults
from trials.promises import Promise, check_promises, merge_runs

RATE_PER_S = 25.0
SETTLE_S = 12.0
CHANGE_PERIOD_S = 3.0
SHOWN_VIOLATIONS = 5
# A busy machine may take long; only a VM that never follows is a violation.
FORCE_LOOKS = 60
LOOK_PERIOD_S = 1.0
CALLERS = ('site-office', 'archive-desk', 'zagreb-records')
KINDS = tuple(Kind)
WEIGHTS = (35, 25, 20, 20)


@dataclass
class Trial:
    """One trial and what came of it."""

    deployment: Deployment
    requests: list[Request]
    seed: int
    revisions: Promise = field(
        default_factory=lambda: Promise('an applied revision never falls'),
    )
    highest: dict[str, int] = field(default_factory=dict)
    number: int = 1

    @property
    def duration_s(self) -> float:
        """How long requests arrive, in seconds."""
        return len(self.requests) / RATE_PER_S

    async def run(self) -> list[Promise]:
        """Send everything under faults; return the promises."""
        await self.deployment.start()
        try:
            promises = await self.run_started()
        finally:
            await self.deployment.close()
        ends = Promise('a process that is told to end does so cleanly')
        ends.checks = len(self.deployment.processes.running)
        ends.violations = self.deployment.unclean_ends
        return [*promises, ends]

    async def run_started(self) -> list[Promise]:
        """Run the trial on running processes."""
        watch = asyncio.create_task(self.watch())
        faults = asyncio.create_task(self.strike_all())
        await asyncio.gather(*self.arrivals())
        await faults
        await self.deployment.wait_repaired()
        await asyncio.sleep(SETTLE_S)
        watch.cancel()
        ran = merge_runs(await self.deployment.collect_runs())
        leaving = Promise('a leaving upstream gets no new work after 3 s')
        leaving.checks = len(self.deployment.runs)
        leaving.violations = self.deployment.late_work
        promises = check_promises(self.requests, ran)
        force = await self.check_force()
        return [*promises, leaving, self.revisions, force]

    def arrivals(self) -> list:
        """Return one coroutine a request, each with its own start."""
        draw = random.Random(self.seed)
        arrivals = []
        for index, request in enumerate(self.requests):
            delay_s = index / RATE_PER_S + draw.uniform(0, 1 / RATE_PER_S)
            arrivals.append(self.arrive(request, delay_s))
        return arrivals

    async def arrive(self, request: Request, delay_s: float) -> None:
        """Send a request at its time."""
        await asyncio.sleep(delay_s)
        caller = TrialCaller(
            request.region,
            self.deployment.entries_of(request.region),
        )
        await caller.send(request)

    async def strike_all(self) -> None:
        """Let the planned faults happen."""
        layout = self.deployment.layout
        vms = [*layout.of_kind('entry'), *layout.of_kind('control')]
        upstreams = [*layout.of_kind('engine'), *layout.of_kind('service')]
        planned = plan_faults(
            self.seed,
            self.duration_s,
            tuple(vm.name for vm in vms),
            tuple(one.name for one in upstreams),
            ALL_NETWORKS,
        )
        async with asyncio.TaskGroup() as group:
            for each in planned:
                group.create_task(self.strike_later(each))

    async def strike_later(self, planned) -> None:
        """Wait for a fault's time and let it happen."""
        await asyncio.sleep(planned.at_s)
        print(f'{planned.at_s:6.1f} s {planned.fault}')
        await self.deployment.strike(planned.fault)

    async def watch(self) -> None:
        """Change the configuration and look at each VM's revision."""
        while True:
            await asyncio.sleep(CHANGE_PERIOD_S)
            self.number += 1
            await self.apply(self.number)
            entries = self.deployment.layout.of_kind('entry')
            await asyncio.gather(*(self.look(entry) for entry in entries))

    async def apply(self, number: int) -> None:
        """Send a manifest to any control VM; it may be refused or lost."""
        token = self.deployment.layout.token_path.read_text()
        headers = [
            ('Authorization', f'Bearer {token}'),
            ('Content-Type', 'application/json'),
        ]
        body = json.dumps(make_manifest(number)).encode()
        for control in self.deployment.layout.of_kind('control'):
            try:
                async with asyncio.timeout(2):
                    status, _, _ = await exchange(
                        control.address,
                        'POST',
                        '/v1/manifest',
                        headers,
                        body,
                    )
            except LOST:
                continue
            if status == 200:
                return

    async def look(self, entry) -> None:
        """Check that a VM's revision is not below one it had before."""
        caller = TrialCaller(entry.region, (entry.address,))
        try:
            document = await caller.ask_directory(entry.address, CALLERS[0])
        except DIRECTORY_LOST:
            return
        revision = document['revision']
        highest = self.highest.get(entry.name, 0)
        what = f'{entry.name}: {revision} after {highest}'
        self.revisions.check(kept=revision >= highest, what=what)
        self.highest[entry.name] = max(highest, revision)

    async def check_force(self) -> Promise:
        """Check that the newest configuration is in force everywhere."""
        force = Promise('an accepted configuration is in force everywhere')
        self.number += 1
        before = max(self.highest.values(), default=0)
        await self.apply(self.number)
        entries = self.deployment.layout.of_kind('entry')
        for _ in range(FORCE_LOOKS):
            await asyncio.sleep(LOOK_PERIOD_S)
            await asyncio.gather(*(self.look(entry) for entry in entries))
            newest = max(self.highest.values(), default=0)
            if newest > before and {newest} == set(self.highest.values()):
                break
        for entry in entries:
            revision = self.highest.get(entry.name)
            what = f'{entry.name}: {revision}, newest {newest}'
            force.check(kept=revision == newest, what=what)
        return force


def draw_requests(count: int, seed: int) -> list[Request]:
    """Draw mixed requests from a seed."""
    draw = random.Random(seed)
    return [
        Request(
            number=number,
            kind=draw.choices(KINDS, WEIGHTS)[0],
            caller=draw.choice(CALLERS),
            region=draw.choice(REGIONS),
        )
        for number in range(count)
    ]


def summarise(requests: list[Request]) -> str:
    """Return how many requests ended in which way, by kind."""
    endings: Counter = Counter()
    for request in requests:
        endings[f'{request.kind}: {ending_of(request)}'] += 1
    return ', '.join(f'{name} {endings[name]}' for name in sorted(endings))


def ending_of(request: Request) -> str:
    """Return how a request ended, with the type of a refusal."""
    if not request.attempts:
        return 'no entry VM'
    last = request.last
    if last.ending is Ending.whole or not last.body:
        return last.ending.value
    kind = json.loads(last.body).get('type', '').rpartition(':')[2]
    return f'{last.ending.value} ({kind})'


def make_table(promises: list[Promise]) -> str:
    """Return the table of promises, and the first violations of each."""
    lines = ['| promise | checks | violations |', '|---|---|---|']
    lines += [
        f'| {one.text} | {one.checks} | {len(one.violations)} |'
        for one in promises
    ]
    broken = (one.violations[:SHOWN_VIOLATIONS] for one in promises)
    return '\n'.join([*lines, *chain.from_iterable(broken)])


def main(*, requests: int = 5000, seed: int = 7) -> int:
    """Run a trial and print the table of promises.

    Parameters
    ----------
    requests
        How many requests arrive.
    seed
        Draws requests and faults.
    """
    with tempfile.TemporaryDirectory(prefix='godwitshunt-trial-') as folder:
        deployment = Deployment.from_config(Path(folder))
        trial = Trial(deployment, draw_requests(requests, seed), seed)
        promises = asyncio.run(trial.run())
    print('| promise | checks | violations |\n|---|---|---|')
    for promise in promises:
        print(
            f'| {promise.text} | {promise.checks} | {len(promise.violations)} |'
        )
    for promise in promises:
        for violation in promise.violations[:5]:
            print(f'{promise.text}: {violation}')
    print(summarise(trial.requests))
    print('unclean ends:', deployment.unclean_ends)
    return int(any(one.violations for one in promises))


if __name__ == '__main__':
    sys.exit(defopt.run(main))
