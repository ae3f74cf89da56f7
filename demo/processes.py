"""Starting and ending the processes of the demonstration.

Only the demonstration and the tests start processes; no program of the
product does.
"""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.request import urlopen

from demo.layout import Layout, Member

READY_TIMEOUT_S = 40.0
END_TIMEOUT_S = 20.0
POLL_S = 0.1


class NotReadyError(Exception):
    """A process did not get ready, or ended, in time."""


@dataclass
class Processes:
    """The running processes of one layout."""

    layout: Layout
    running: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, member: Member) -> None:
        """Start one process; its output goes to a file beside its settings."""
        output = (self.layout.folder / f'{member.name}.out').open('ab')
        with output:
            self.running[member.name] = subprocess.Popen(
                [sys.executable, '-m', *self.command(member)],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    def command(self, member: Member) -> list[str]:
        """Return the module and arguments that run a process."""
        settings = str(self.layout.settings_path(member))
        match member.kind:
            case 'entry':
                return ['godwitshunt.programs.entry', settings]
            case 'control':
                return ['godwitshunt.programs.control', settings]
            case _:
                return self.standin_command(member)

    def standin_command(self, member: Member) -> list[str]:
        """Return the module and arguments that run a stand-in upstream."""
        entries = ','.join(
            entry.address
            for entry in self.layout.of_kind('entry', member.region)
        )
        options = ['--name', member.name, '--region', member.region]
        options += ['--entries', entries, '--listen', member.address]
        return [f'standins.{member.kind}', *options]

    def start_kind(self, kind: str) -> None:
        """Start every process of a kind and wait until each is ready."""
        members = self.layout.of_kind(kind)
        for member in members:
            self.start(member)

    def wait_ready(self, member: Member, path: str = '/readyz') -> None:
        """Wait until a process answers its readiness path with 200."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.running[member.name].poll() is not None:
                raise NotReadyError(f'{member.name} ended: {self.tail(member)}')
            if answers(f'http://{member.address}{path}'):
                return
            time.sleep(POLL_S)
        raise NotReadyError(f'{member.name}: {self.tail(member)}')

    def tail(self, member: Member) -> str:
        """Return the last part of a process's output."""
        output = self.layout.folder / f'{member.name}.out'
        return output.read_text(errors='replace')[-2000:]

    def write_addresses(self) -> Path:
        """Write where each process listens and which process it is."""
        path = self.layout.folder / 'addresses.json'
        entries = [
            {
                'name': member.name,
                'kind': member.kind,
                'region': member.region,
                'http': member.address,
                'metrics': f'http://{member.address}/metrics',
                'process': self.running[member.name].pid,
            }
            for member in self.layout.members
        ]
        path.write_text(json.dumps(entries, indent=2))
        return path

    def stop(self) -> list[str]:
        """End every process gracefully; return the names that had to be cut."""
        processes = {
            name: process.pid
            for name, process in self.running.items()
            if process.poll() is None
        }
        for pid in processes.values():
            os.kill(pid, signal.SIGTERM)
        cut = []
        end = time.monotonic() + END_TIMEOUT_S
        for name in processes:
            try:
                self.running[name].wait(max(POLL_S, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.running[name].kill()
                self.running[name].wait()
                cut.append(name)
        return cut


def answers(url: str) -> bool:
    """Tell whether a GET is answered with 200."""
    try:
        with urlopen(url, timeout=2) as answer:
            return answer.status == 200
    except OSError:
        return False


def stop_kept(folder: Path) -> int:
    """End the processes of a deployment that was left running.

    Returns
    -------
    int
        How many processes were told to end.
    """
    entries = json.loads((folder / 'addresses.json').read_text())
    pids = [entry['process'] for entry in entries]
    ended = sum(end_process(pid) for pid in pids)
    end = time.monotonic() + END_TIMEOUT_S
    while time.monotonic() < end and any(is_running(pid) for pid in pids):
        time.sleep(POLL_S)
    return ended


def end_process(pid: int) -> bool:
    """Ask a process of ours to end; False where it is gone."""
    if not is_running(pid):
        return False
    os.kill(pid, signal.SIGTERM)
    return True


def is_running(pid: int) -> bool:
    """Tell whether a process id is one of our Python processes.

    Numbers are used again by the system: a folder kept since a reboot must
    not end a stranger's process.
    """
    try:
        command = Path(f'/proc/{pid}/cmdline').read_bytes()
    except OSError:
        return False
    return b'godwitshunt' in command or b'standins' in command
