"""Policies side by side over real entry processes and stand-in engines.

``python -m benchmarks.processes --help`` tells the options. Each run starts a
whole deployment on loopback addresses, replays one trace, and ends it.
"""

import json
import sys
import tempfile
from collections import deque
from dataclasses import dataclass, replace
from pathlib import Path

import defopt

from benchmarks.baselines import EXACT, make_policies
from demo.layout import ENTRIES_PER_REGION, Layout, Member, make_member
from demo.processes import Processes
from demo.start import start_deployment
from godwitshunt.programs.replay import run as replay
from godwitshunt.replay.deployments import DEPLOYMENTS, Deployment
from godwitshunt.replay.generator import (
    Demand,
    caller_key,
    capacity_per_s,
    generate_manifest,
    generate_trace,
)
from godwitshunt.replay.traces import write_trace

CLASSES = ('urgent', 'long')
PERCENT = 100


@dataclass(frozen=True)
class RunPlan:
    """One run.

    Parameters
    ----------
    load : float
        Offered requests as a share of the capacity.
    lag_s : float
        Seconds by which engines report their load late.
    """

    deployment: Deployment
    policy: str
    load: float
    duration_s: float
    lag_s: float = 0.2


class PolicyProcesses(Processes):
    """The processes of a run: entries with its policy, engines by profile."""

    def __init__(self, layout: Layout, plan: RunPlan) -> None:
        super().__init__(layout)
        self.plan = plan

    def command(self, member: Member) -> list[str]:
        """Return the module and arguments that run a process."""
        if member.kind != 'entry':
            return super().command(member)
        settings = str(self.layout.settings_path(member))
        return ['benchmarks.policy_entry', self.plan.policy, settings]

    def standin_command(self, member: Member) -> list[str]:
        """Return the module and arguments that run a stand-in upstream."""
        command = super().standin_command(member)
        if member.kind == 'service':
            return [*command, '--serves', self.plan.deployment.plain_service]
        engine = self.plan.deployment.engine
        options = {
            'models': 'chat-model',
            'slots': engine.slots,
            'prefill-rate': engine.prefill_tokens_per_s,
            'decode-rate': engine.decode_tokens_per_s,
            'kv-tokens': engine.cache_tokens,
            'load-lag-s': self.plan.lag_s,
        }
        for name, setting in options.items():
            command.extend((f'--{name}', str(setting)))
        return command


def make_layout(folder: Path, deployment: Deployment) -> Layout:
    """Choose addresses for every process of a deployment."""
    members = []
    for place, region in enumerate(deployment.regions, start=1):
        network = f'127.0.{place}'
        kinds = [
            ('entry', ENTRIES_PER_REGION),
            ('control', 1),
            ('engine', region.model_servers),
            ('service', 1),
        ]
        hosts = iter(range(1, 100))
        for kind, count in kinds:
            members.extend(
                make_member(
                    f'{network}.{next(hosts)}',
                    region.name,
                    kind,
                    index,
                )
                for index in range(1, count + 1)
            )
    return Layout(folder, tuple(members))


def write_files(layout: Layout, plan: RunPlan) -> None:
    """Write settings, manifest, keys and the trace."""
    layout.write()
    manifest = generate_manifest(plan.deployment)
    layout.manifest_path.write_text(manifest.model_dump_json())
    keys = {caller.name: caller_key(caller.name) for caller in manifest.callers}
    (layout.folder / 'keys.json').write_text(json.dumps(keys))
    rate = plan.load * capacity_per_s(plan.deployment)
    trace = generate_trace(plan.deployment, Demand(rate, plan.duration_s))
    write_trace(layout.folder / 'trace.jsonl', trace)


def measure(plan: RunPlan, folder: Path) -> dict:
    """Run one policy and return the replay's results."""
    layout = make_layout(folder.resolve(), plan.deployment)
    write_files(layout, plan)
    processes = PolicyProcesses(layout, plan)
    results = layout.folder / 'results.json'
    try:
        start_deployment(layout, processes)
        replay(
            layout.folder / 'trace.jsonl',
            entry=[
                f'{member.region}={member.address}'
                for member in layout.of_kind('entry')
            ],
            keys=layout.folder / 'keys.json',
            manifest=layout.manifest_path,
            results=results,
        )
    finally:
        processes.stop()
    return json.loads(results.read_text())


def row(plan: RunPlan, measured: dict) -> str:
    """Return one line of the table; seconds and percent."""
    parts = [f'{plan.load:5.2f} {plan.lag_s:4.1f} {plan.policy:19}']
    for name in CLASSES:
        timings = measured['classes'][name]
        first = timings['first_s']
        parts.append(
            f'{first["p50"]:7.3f}{first["p99"]:7.2f}{first["p99.9"]:7.2f}'
            f'{timings["total_s"]["p99"]:7.2f}',
        )
    refused = measured['endings']['refused'] / measured['requests']
    shares = (measured['useful_share'], refused, measured['share_away'])
    parts += [f'{share * PERCENT:7.2f}' for share in shares]
    parts.append(f'{measured["cost"]:7.2f}')
    return ' '.join(parts)


def compare(
    deployment: str = 'long-reviews',
    *,
    loads: str = '0.95',
    duration_s: float = 30,
    lag_s: float = 0.2,
    policies: str = '',
) -> None:
    """Print a table of policies, each over processes of its own.

    Parameters
    ----------
    deployment : str
        ``quick-questions`` or ``long-reviews``.
    loads : str
        Shares of the capacity, by commas.
    duration_s : float
        Seconds of each trace.
    lag_s : float
        Seconds by which engines report their load late.
    policies : str
        Policies to run, by commas; all without it.
    """
    names = [name for name in policies.split(',') if name]
    plan = RunPlan(DEPLOYMENTS[deployment], '', 0.0, duration_s, lag_s)
    plans = deque(
        replace(plan, load=float(load), policy=name)
        for load in loads.split(',')
        for name in names or make_policies()
        if name != EXACT
    )
    while plans:
        each = plans.popleft()
        with tempfile.TemporaryDirectory(prefix='godwitshunt-run-') as folder:
            line = row(each, measure(each, Path(folder)))
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(compare))


if __name__ == '__main__':
    main()
