"""``godwitshunt-ingress``: the process of an entry VM that serves routes."""

import sys
from pathlib import Path

import defopt

from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.manifest.documents import read_settings
from godwitshunt.programs.ingress_process import IngressProcess
from godwitshunt.settings import IngressSettings
from godwitshunt.telemetry import open_log
from godwitshunt.timer.event_loop import run_event_loop

WRONG_INPUT = 2


async def run_ingress(settings: IngressSettings) -> None:
    """Run an ingress process to its end."""
    await IngressProcess(settings).run()


def ingress(settings: Path) -> int:
    """Run the process of an entry VM that serves routes.

    It takes requests of callers without keys and brings each to an upstream
    of the manifest's routes. SIGTERM lets it finish what is in progress.

    Parameters
    ----------
    settings : Path
        The settings file, in JSON; docs/operators/settings.md tells each field.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 for wrong settings.
    """
    try:
        loaded = read_settings(settings, IngressSettings)
        open_log(loaded.log.path)
        run_event_loop(run_ingress(loaded))
    except GodwitshuntError as wrong:
        print(wrong, file=sys.stderr)
        return WRONG_INPUT
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(ingress))


if __name__ == '__main__':
    main()
