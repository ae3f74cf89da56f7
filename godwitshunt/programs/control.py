"""The ``godwitshunt-control`` program."""

import asyncio
import sys
from pathlib import Path

import defopt

from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.manifest.documents import read_settings
from godwitshunt.programs.control_process import ControlProcess
from godwitshunt.settings import ControlSettings
from godwitshunt.telemetry import open_log
from godwitshunt.timer import stop_on_signals

WRONG_INPUT = 2


async def run(settings: ControlSettings) -> int:
    """Run until SIGTERM or SIGINT, or until the replica has failed.

    A replica whose disk failed takes part no more. Going on would look alive
    to whoever watches over the process, while one more loss ends the quorum.

    Returns
    -------
    int
        0 after a graceful shutdown, 1 where the replica failed.
    """
    stop = asyncio.Event()
    stop_on_signals(stop)
    process = ControlProcess(settings)
    await process.start()
    failed = process.consensus.failed
    ends = [asyncio.create_task(each.wait()) for each in (stop, failed)]
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    for end in ends:
        end.cancel()
    await process.close()
    return int(failed.is_set())


def control(settings: Path) -> None:
    """Run a control replica of a godwitshunt deployment.

    A control replica keeps the deployment's configuration in a log that is
    replicated over three or five VMs, takes manifests from operators, and
    tells every entry VM what is in force. It runs until SIGTERM, answers what
    is under way then, and exits with 0; with 1 where its disk failed; with 2
    where the settings, the cluster key, an address or the data folder cannot
    be used.

    :param settings: JSON file with this replica's settings.
    """
    try:
        checked = read_settings(settings, ControlSettings)
        open_log(checked.log.path)
        sys.exit(asyncio.run(run(checked)))
    except GodwitshuntError as wrong:
        print(f'godwitshunt-control: {wrong}', file=sys.stderr)
        sys.exit(WRONG_INPUT)


def main() -> None:
    """Run the command line."""
    defopt.run(control)


if __name__ == '__main__':
    main()
