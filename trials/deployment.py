"""A whole deployment behind relays, whose processes a trial can harm."""

import asyncio
import json
import os
import shutil
import signal
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from subprocess import CalledProcessError
from typing import Self
from urllib.request import urlopen

from demo.layout import REGIONS, Layout, Member
from demo.processes import Processes
from demo.start import operate, start_deployment
from standins.ports import free_port
from trials import faults
from trials.relay import Cuts, Relay

READY_TIMEOUT_S = 40.0
CLEAN_END_S = 60.0
LEAVE_EFFECT_S = 3.0
REPAIR_PAUSE_S = 2.0
SERVICE_WORK_S = '0.3'
REPAIR_LIMIT_S = 90.0
ALL_NETWORKS = tuple(range(1, len(REGIONS) + 1))


class TrialProcesses(Processes):
    """Processes whose plain services take long enough to be struck."""

    def standin_command(self, member: Member) -> list[str]:
        """Return the module and arguments that run a stand-in upstream."""
        command = super().standin_command(member)
        if member.kind == 'service':
            command += ['--work-s', SERVICE_WORK_S]
        return command


@dataclass
class Deployment:
    """Processes, relays, and what faults did to them."""

    layout: Layout
    processes: Processes
    cuts: Cuts
    relays: list[Relay]
    down: set[str] = field(default_factory=set)
    cut_now: list[frozenset] = field(default_factory=list)
    unclean_ends: list[str] = field(default_factory=list)
    runs: list[dict] = field(default_factory=list)
    late_work: list[str] = field(default_factory=list)
    repairs: dict[str, asyncio.Task] = field(default_factory=dict)

    @classmethod
    def from_config(cls, folder: Path) -> Self:
        """Lay out a deployment with a relay before each VM's listeners."""
        plain = Layout.from_config(folder, REGIONS)
        cuts = Cuts()
        relays = []
        for member in plain.of_kind('entry') + plain.of_kind('control'):
            for port in (member.http, member.peer):
                relays.append(
                    Relay(
                        member.host,
                        free_port(member.host),
                        (member.host, port),
                        cuts,
                    ),
                )
        ports = {relay.target: relay.port for relay in relays}
        layout = replace(plain, relays=ports)
        layout.write()
        return cls(layout, TrialProcesses(layout), cuts, relays)

    async def start(self) -> None:
        """Start relays and processes; wait until every entry VM is ready."""
        for relay in self.relays:
            await relay.start()
        await asyncio.to_thread(start_deployment, self.layout, self.processes)

    async def close(self) -> None:
        """End everything; take note of what did not end by itself."""
        await self.cuts.set(set())
        for process in self.processes.running.values():
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
        cut = await asyncio.to_thread(self.processes.stop)
        self.unclean_ends += cut
        for relay in self.relays:
            await relay.close()

    def member(self, name: str) -> Member:
        """Return a process by its name."""
        return next(one for one in self.layout.members if one.name == name)

    def entries_of(self, region: str) -> tuple[str, ...]:
        """Return the relayed HTTP addresses of a region's entry VMs."""
        return tuple(
            '{host}:{port}'.format(
                **self.layout.reached(entry.host, entry.http),
            )
            for entry in self.layout.of_kind('entry', region)
        )

    async def strike(self, fault: faults.Fault) -> None:
        """Let one fault happen, and end it after its time."""
        match fault:
            case faults.Cut():
                await self.cut(fault)
            case faults.Leave(upstream, away_s):
                await self.exclusively(upstream, self.leave(upstream, away_s))
            case faults.Kill(vm=vm) | faults.Freeze(vm=vm):
                await self.exclusively(vm, self.harm(fault))
            case faults.Restart(vm):
                await self.exclusively(vm, self.restart(vm))

    async def exclusively(self, name: str, harm) -> None:
        """Harm a process unless it is being harmed already."""
        if name in self.down:
            harm.close()
            return
        self.down.add(name)
        try:
            await harm
        finally:
            self.down.discard(name)

    async def cut(self, fault: faults.Cut) -> None:
        """Hold back bytes between networks for a time."""
        self.cut_now.append(fault.directions)
        await self.cuts.set(set().union(*self.cut_now))
        await asyncio.sleep(fault.cut_s)
        self.cut_now.remove(fault.directions)
        await self.cuts.set(set().union(*self.cut_now))

    async def harm(self, fault: faults.Kill | faults.Freeze) -> None:
        """Kill or freeze a process for a time."""
        process = self.processes.running[fault.vm]
        match fault:
            case faults.Freeze(frozen_s=frozen_s):
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(frozen_s)
                process.send_signal(signal.SIGCONT)
            case faults.Kill(down_s=down_s, lose_folder=lost):
                process.kill()
                await asyncio.to_thread(process.wait)
                lost = lost and self.may_lose(fault.vm)
                if lost:
                    folder = self.layout.folder / f'{fault.vm}.data'
                    shutil.rmtree(folder, ignore_errors=True)
                await asyncio.sleep(down_s)
                await self.start_again(fault.vm)
                if lost and self.member(fault.vm).kind == 'control':
                    repair = asyncio.create_task(self.repair(fault.vm))
                    self.repairs[fault.vm] = repair

    def may_lose(self, vm: str) -> bool:
        """Tell whether a disk may be lost now.

        Two of three control disks lost before the first is repaired leave no
        majority for ever; nothing is promised of that.
        """
        is_control = self.member(vm).kind == 'control'
        repaired = all(task.done() for task in self.repairs.values())
        return repaired or not is_control

    async def repair(self, name: str) -> None:
        """Put the new replica in the lost one's place, as an operator would.

        Other faults go on meanwhile; the command is repeated until it is done.
        """
        while True:
            with suppress(CalledProcessError):
                replace_lost = ('replace', '--name', name)
                await asyncio.to_thread(operate, self.layout, *replace_lost)
                return
            await asyncio.sleep(REPAIR_PAUSE_S)

    async def start_again(self, name: str) -> None:
        """Start a process; it counts as down until it answers."""
        member = self.member(name)
        self.processes.start(member)
        wait = self.processes.wait_ready
        await asyncio.to_thread(wait, member, '/healthz')

    async def restart(self, vm: str) -> None:
        """End a process gracefully and start it again."""
        await self.end_cleanly(vm)
        await self.start_again(vm)

    async def end_cleanly(self, name: str) -> None:
        """Send SIGTERM twice and wait for the end."""
        process = self.processes.running[name]
        process.terminate()
        await asyncio.sleep(0.1)
        process.terminate()
        try:
            code = await asyncio.to_thread(process.wait, CLEAN_END_S)
        except TimeoutError:
            code = None
        if code != 0:
            self.unclean_ends.append(f'{name}: exit {code}')

    async def leave(self, name: str, away_s: float) -> None:
        """Let an upstream leave; new work must stop within seconds."""
        member = self.member(name)
        await asyncio.to_thread(fetch, member, '/standin/leave')
        await asyncio.sleep(LEAVE_EFFECT_S)
        before = await asyncio.to_thread(fetch, member, '/standin/runs')
        await asyncio.sleep(away_s)
        after = await asyncio.to_thread(fetch, member, '/standin/runs')
        late = after['executions'] - before['executions']
        if late:
            self.late_work.append(f'{name}: {late} runs')
        self.runs.append(after)
        await self.end_cleanly(name)
        await self.start_again(name)

    async def wait_repaired(self) -> None:
        """Wait until every lost control disk is repaired."""
        async with asyncio.timeout(REPAIR_LIMIT_S):
            await asyncio.gather(*self.repairs.values())

    async def collect_runs(self) -> list[dict]:
        """Return what every stand-in ran, over all its restarts."""
        members = self.layout.of_kind('engine') + self.layout.of_kind('service')
        for member in members:
            told = await asyncio.to_thread(fetch, member, '/standin/runs')
            self.runs.append(told)
        return self.runs


def fetch(member: Member, path: str) -> dict:
    """Fetch a stand-in's JSON."""
    url = f'http://{member.address}{path}'
    with urlopen(url, timeout=READY_TIMEOUT_S) as answer:
        return json.loads(answer.read())
