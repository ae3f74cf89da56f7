"""Cost of the replicated log on one machine, with real processes and disks.

Run ``python -m benchmarks.consensus FOLDER``; the folder should be on the
disk to be measured. Takes about a minute and writes one JSON document:
commit latency beside a plain loopback round trip and syncs measured in the
same run, processor time per commit, bytes per heartbeat, time until a new
leader after SIGKILL in election timeouts, and what a restart reads.
"""

import itertools
import json
import statistics
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

from godwitshunt.consensus import ReplicaOptions
from standins.ports import free_port

NAMES = ('a', 'b', 'c')
COMMITS = 300
ROUNDS = 15
TURN = 20
DELAYS_S = (0.001, 0.01)
BURST_COMMITS = 9600
BURST = 32
PAYLOAD_BYTES = 512
IDLE_S = 5.0
KILLS = 8
PERCENT = 100
POLL_S = 0.002


class Replica:
    """A child process that runs one replica."""

    def __init__(self, name: str, folder: Path, port: int) -> None:
        self.name = name
        self.folder = folder
        self.port = port
        self.started: dict = {}
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; returns once it takes part."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.replica_program',
                self.name,
                str(self.folder / self.name),
                str(self.port),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.started = json.loads(self.process.stdout.readline())

    def ask(self, command: str, **arguments) -> dict:
        """Give a command and wait for its answer."""
        line = json.dumps([command, arguments])
        self.process.stdin.write(f'{line}\n')
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def wait_for_leader(replicas: list[Replica], after_term: int = 0) -> Replica:
    """Return the replica that leads a term after the given one."""
    for replica in itertools.cycle(replicas):
        status = replica.ask('status')
        if status['is_leader'] and status['term'] > after_term:
            return replica
        time.sleep(POLL_S)
    raise ValueError(replicas)


def measure_commits(
    replicas: list[Replica],
    leader: Replica,
    delay_s: float,
) -> dict:
    """Compare commits with their unavoidable parts, taken in turns.

    Parameters
    ----------
    replicas : list of Replica
        All of them.
    leader : Replica
        The one that commits.
    delay_s : float
        Seconds that each message is held up; both ways count as part of the
        round trip.
    """
    follower = next(one for one in replicas if one is not leader)
    for replica in replicas:
        replica.ask('hold_up', delay_s=delay_s)
    port = follower.ask('echo_server')['port']
    syncs: list[float] = []
    trips: list[float] = []
    commits: list[float] = []
    for _ in range(ROUNDS):
        sync = leader.ask('sync_times', count=TURN, size=PAYLOAD_BYTES)
        syncs.extend(sync['durations'])
        trip = leader.ask('echo_times', port=port, count=TURN)
        trips.extend(trip['durations'])
        commits.extend(commit_alone(leader, TURN))
    sync_s = statistics.median(syncs)
    trip_s = statistics.median(trips) + 2 * delay_s
    commit_s = statistics.median(commits)
    return {
        'round_trip_us': trip_s * 1e6,
        'sync_us': sync_s * 1e6,
        'commit_p50_us': commit_s * 1e6,
        'commit_p99_us': statistics.quantiles(commits, n=PERCENT)[-1] * 1e6,
        'commit_over_trip_and_two_syncs': commit_s / (trip_s + 2 * sync_s),
    }


def commit_alone(leader: Replica, count: int) -> list[float]:
    """Commit one payload after another; return the latencies in seconds."""
    answer = leader.ask(
        'commit',
        count=count,
        together=1,
        size=PAYLOAD_BYTES,
    )
    return answer['latencies']


def measure_processor(replicas: list[Replica], leader: Replica) -> dict:
    """Measure processor time per commit, alone and in bursts."""
    figures = {}
    for label, count, together in (
        ('alone', COMMITS, 1),
        ('burst', BURST_COMMITS, BURST),
    ):
        before = [one.ask('counters')['cpu_s'] for one in replicas]
        leader.ask('commit', count=count, together=together, size=PAYLOAD_BYTES)
        after = [one.ask('counters')['cpu_s'] for one in replicas]
        for one, first, last in zip(replicas, before, after, strict=True):
            role = 'leader' if one is leader else f'follower_{one.name}'
            figures[f'{label}_{role}_us'] = (last - first) / count * 1e6
    return figures


def measure_idle(replicas: list[Replica], leader: Replica) -> dict:
    """Measure heartbeats while nothing is committed."""
    before = [one.ask('counters') for one in replicas]
    time.sleep(IDLE_S)
    after = [one.ask('counters') for one in replicas]
    figures = {}
    for one, first, last in zip(replicas, before, after, strict=True):
        messages = last['messages'] - first['messages']
        size = last['bytes'] - first['bytes']
        duration_s = last['at_s'] - first['at_s']
        role = 'leader' if one is leader else f'follower_{one.name}'
        cpu_s = last['cpu_s'] - first['cpu_s']
        figures[role] = {
            'bytes_per_message': size / messages,
            'bytes_per_s': size / duration_s,
            'core_percent': cpu_s / duration_s * PERCENT,
        }
    return figures


def measure_elections(replicas: list[Replica]) -> dict:
    """Kill the leader, again and again; time until another leads."""
    timeout_s = ReplicaOptions().election_timeout_s
    durations = []
    for _ in range(KILLS):
        leader = wait_for_leader(replicas)
        term = leader.ask('status')['term']
        leader.kill()
        began = time.perf_counter()
        others = [one for one in replicas if one is not leader]
        wait_for_leader(others, after_term=term)
        durations.append((time.perf_counter() - began) / timeout_s)
        leader.start()
        time.sleep(2 * timeout_s)
    return {
        'kills': KILLS,
        'median_election_timeouts': statistics.median(durations),
        'worst_election_timeouts': max(durations),
    }


def main(folder: Path) -> None:
    """Run every measurement and write one JSON document."""
    replicas = [Replica(name, folder, free_port()) for name in NAMES]
    with ExitStack() as stack:
        for replica in replicas:
            replica.start()
            stack.callback(replica.kill)
        ports = [one.port for one in replicas[1:]]
        replicas[0].ask('bootstrap', ports=ports)
        leader = wait_for_leader(replicas)
        follower = next(one for one in replicas if one is not leader)
        commit_alone(leader, COMMITS)
        commits = {
            f'each_way_{delay_s * 1e3:.0f}_ms': measure_commits(
                replicas,
                leader,
                delay_s,
            )
            for delay_s in (*DELAYS_S, 0)
        }
        figures = {
            'commits': commits,
            'processor': measure_processor(replicas, leader),
            'idle': measure_idle(replicas, leader),
        }
        follower.kill()
        follower.start()
        figures['restart'] = follower.started
        figures['elections'] = measure_elections(replicas)
    sys.stdout.write(f'{json.dumps(figures, indent=2)}\n')


if __name__ == '__main__':
    main(Path(sys.argv[1]))
