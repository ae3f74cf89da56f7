"""Compare the product's decision with simpler ones, in one run.

``python -m benchmarks.compare --help`` tells the options.
"""

import sys
from dataclasses import replace
from multiprocessing import Pool

import defopt

from benchmarks.baselines import EXACT, make_policies
from benchmarks.loop import Loop
from benchmarks.scenarios import Scenario, scenarios
from benchmarks.summary import URGENT, Summary, summarize
from godwitshunt.replay.deployments import DEPLOYMENTS
from godwitshunt.replay.generator import Demand, generate_trace

PERCENT = 100
HEAD = (
    f'{"scenario":19}{"policy":19}{"urgent p50":>11}{"p99":>8}{"p99.9":>8}'
    f'{"total p99":>10}{"long p99":>9}{"useful":>8}{"tok/s":>7}{"refused":>8}'
    f'{"away":>7}{"hits":>7}{"cost":>7}'
)


def row(scenario: str, policy: str, figures: Summary) -> str:
    """Return one line of the table; seconds and percent."""
    first = figures.first_s[URGENT]
    total = figures.total_s[URGENT]
    long_first = figures.first_s['long']
    return (
        f'{scenario:19}{policy:19}{first[0]:11.3f}{first[1]:8.2f}'
        f'{first[2]:8.2f}{total[1]:10.2f}{long_first[1]:9.1f}'
        f'{figures.useful * PERCENT:8.2f}{figures.tokens_per_s:7.0f}'
        f'{figures.refused * PERCENT:8.2f}'
        f'{figures.away * PERCENT:7.2f}{figures.hits * PERCENT:7.1f}'
        f'{figures.cost:7.3f}'
    )


def measure(
    deployment: str,
    scenario: Scenario,
    demand: Demand,
    policy: str,
) -> Summary:
    """Run one policy in one scenario."""
    profile = DEPLOYMENTS[deployment]
    trace = generate_trace(profile, demand)
    setting = replace(scenario.setting(profile), exact=policy == EXACT)
    loop = Loop(setting, make_policies()[policy])
    return summarize(loop.run(trace))


def compare(
    deployment: str = 'quick-questions',
    *,
    duration_s: float = 300,
    only: str = '',
    policies: str = '',
    seed: int = 1,
    processes: int = 3,
) -> None:
    """Print a table of scenarios by policy.

    Parameters
    ----------
    deployment : str
        ``quick-questions`` or ``long-reviews``.
    duration_s : float
        Virtual seconds of each trace.
    only : str
        Scenarios to run, by commas; all without it.
    policies : str
        Policies to run, by commas; all without it.
    seed : int
        Of the trace.
    processes : int
        Runs at once.
    """
    wanted = [name for name in only.split(',') if name]
    names = [name for name in policies.split(',') if name] or list(
        make_policies(),
    )
    chosen = [
        scenario
        for scenario in scenarios(DEPLOYMENTS[deployment], duration_s)
        if not wanted or scenario.name in wanted
    ]
    profile = DEPLOYMENTS[deployment]
    tasks = [
        (deployment, scenario, scenario.demand(profile, duration_s, seed), name)
        for scenario in chosen
        for name in names
    ]
    sys.stdout.write(f'{HEAD}\n')
    with Pool(processes) as pool:
        runs = [pool.apply_async(measure, task) for task in tasks]
        for task, run in zip(tasks, runs, strict=True):
            line = row(task[1].name, task[3], run.get())
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(compare))


if __name__ == '__main__':
    main()
