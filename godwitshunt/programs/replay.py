"""``godwitshunt-replay``: replays recorded traces against entry VMs."""

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path

import defopt
from tqdm import tqdm

from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.manifest.documents import parse_manifest
from godwitshunt.replay.chart import write_chart
from godwitshunt.replay.deployments import DEPLOYMENTS
from godwitshunt.replay.generator import (
    Demand,
    caller_key,
    generate_manifest,
    generate_trace,
)
from godwitshunt.replay.outcomes import (
    StatedOutcomes,
    check_outcomes,
    outcomes_path,
    read_outcomes,
)
from godwitshunt.replay.results import Results, render
from godwitshunt.replay.sender import Sender
from godwitshunt.replay.traces import read_trace, write_trace
from godwitshunt.settings import Address

MISSED = 1
WRONG_INPUT = 2


def parse_entries(entries: list[str]) -> dict[str, tuple[Address, ...]]:
    """Read entry VMs given as ``region=host:port`` or ``host:port``."""
    known: dict[str, tuple[Address, ...]] = {}
    for entry in entries:
        region, _, place = entry.rpartition('=')
        host, _, port = place.rpartition(':')
        address = Address(host=host, port=int(port))
        known[''] = (*known.get('', ()), address)
        if region:
            known[region] = (*known.get(region, ()), address)
    return known


def run(
    trace: Path,
    *,
    entry: list[str],
    keys: Path,
    manifest: Path,
    results: Path | None = None,
    chart: Path | None = None,
) -> int:
    """Replay a trace and check the outcomes that are stated beside it.

    Each request is sent at its time, whatever became of those before. The
    stated outcomes are read from the file beside the trace whose name ends
    in ``.outcomes.json``, where there is one.

    Parameters
    ----------
    trace
        The trace, as JSON lines.
    entry
        Entry VMs to ask for the directory, as region=host:port.
    keys
        A JSON object with the key of each caller.
    manifest
        The manifest in force, for the regions' prices.
    results
        Where to write the results, in JSON.
    chart
        Where to draw the times to the first token; png, svg or pdf.

    Returns
    -------
    int
        0 where every stated outcome was met, 1 where one was missed, 2 for
        wrong input.
    """
    try:
        return replay(ReplayFiles(trace, keys, manifest), entry, results, chart)
    except (GodwitshuntError, OSError, ValueError) as wrong:
        print(wrong, file=sys.stderr)
        return WRONG_INPUT


@dataclass(frozen=True)
class ReplayFiles:
    """The files that a replay reads."""

    trace: Path
    keys: Path
    manifest: Path


def replay(
    files: ReplayFiles,
    entries: list[str],
    results: Path | None,
    chart: Path | None,
) -> int:
    """Replay a trace; return the exit code."""
    requests = read_trace(files.trace)
    stated = read_outcomes(files.trace)
    prices = read_prices(files.manifest)
    caller_keys = json.loads(files.keys.read_text())
    known = parse_entries(entries)
    with tqdm(total=len(requests), unit='request') as progress:
        sender = Sender(known, caller_keys, lambda _: progress.update())
        samples = asyncio.run(sender.replay(requests))
    measured = Results.from_samples(samples, prices)
    print(render(measured))
    if results is not None:
        results.write_text(json.dumps(measured.document(), indent=2))
    if chart is not None:
        write_chart(chart, measured)
    missed = check_outcomes(stated, measured)
    for each in missed:
        print(f'missed {each}')
    return MISSED if missed else 0


def read_prices(manifest: Path) -> dict[str, float]:
    """Return the price of 1,000 generated tokens in each region."""
    parsed = parse_manifest(manifest.read_bytes(), str(manifest))
    return {region.name: region.price for region in parsed.regions}


def generate(
    deployment: str,
    folder: Path,
    *,
    rate: float = 20.0,
    duration: float = 60.0,
    swing: float = 0.5,
    seed: int = 1,
) -> int:
    """Write a trace with the manifest and the callers' keys that go with it.

    Beside the trace it states that each request ends whole or truly refused.

    Parameters
    ----------
    deployment
        ``quick-questions`` or ``long-reviews``.
    folder
        Where to write ``trace.jsonl``, ``manifest.json`` and ``keys.json``.
    rate
        Mean requests a second over all regions.
    duration
        Seconds; one day's peaks are pressed into them.
    swing
        How far each region's rate swings about its mean, 0 to 1.
    seed
        Equal seeds make equal traces.

    Returns
    -------
    int
        0, or 2 where there is no such deployment.
    """
    profile = DEPLOYMENTS.get(deployment)
    if profile is None:
        expected = ', '.join(DEPLOYMENTS)
        print(f'found {deployment}, expected {expected}', file=sys.stderr)
        return WRONG_INPUT
    folder.mkdir(parents=True, exist_ok=True)
    demand = Demand(rate, duration, swing, seed)
    path = folder / 'trace.jsonl'
    trace = generate_trace(profile, demand)
    write_trace(path, trace)
    stated = StatedOutcomes(requests=len(trace), broken_share=0)
    outcomes_path(path).write_text(stated.model_dump_json(indent=2))
    manifest = generate_manifest(profile)
    (folder / 'manifest.json').write_text(manifest.model_dump_json(indent=2))
    keys = {caller.name: caller_key(caller.name) for caller in manifest.callers}
    (folder / 'keys.json').write_text(json.dumps(keys, indent=2))
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run([run, generate]))


if __name__ == '__main__':
    main()
