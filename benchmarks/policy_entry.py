"""An entry process with another routing decision, for measurements.

No setting of the product chooses a decision; this program does.
"""

import asyncio
import sys
from pathlib import Path

import defopt

from benchmarks.baselines import make_policies
from godwitshunt.manifest.documents import read_settings
from godwitshunt.programs.entry import EntryProcess
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import open_log


async def run_policy(settings: EntrySettings, policy: str) -> None:
    """Run an entry process to its end."""
    await EntryProcess(settings, make_policies()[policy]).run()


def entry(policy: str, settings: Path) -> None:
    """Run an entry process.

    Parameters
    ----------
    policy : str
        A name from `benchmarks.baselines`.
    settings : Path
        The settings file of ``godwitshunt-entry``.
    """
    loaded = read_settings(settings, EntrySettings)
    open_log(loaded.log.path)
    asyncio.run(run_policy(loaded, policy))


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))


if __name__ == '__main__':
    main()
