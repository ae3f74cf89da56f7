"""``godwitshunt-entry``: the process of an entry VM."""

import asyncio
import signal
import sys
from pathlib import Path

import defopt

from godwitshunt.exceptions import GodwitshuntError
from godwitshunt.exchange.gateway import ExchangeTask
from godwitshunt.exchange.ports import Ports
from godwitshunt.manifest.documents import read_settings
from godwitshunt.programs.interim import (
    FileConfiguration,
    FreeRetries,
    LocalClaims,
    LocalMembership,
    NoLimits,
    choose_least_loaded,
)
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics, log_change, open_log
from godwitshunt.timer import TimerService

WRONG_INPUT = 2


class EntryProcess:
    """All parts of an entry VM's process.

    Parameters
    ----------
    settings : EntrySettings
        The settings file.
    manifest : Path
        The manifest that is in force from the start.
    """

    def __init__(
        self,
        settings: EntrySettings,
        manifest: Path,
    ) -> None:
        self.settings = settings
        self.timer = TimerService()
        self.metrics = Metrics()
        self.stopping = asyncio.Event()
        configuration = FileConfiguration.from_config(settings, manifest)
        ports = Ports(
            configuration=configuration,
            membership=LocalMembership(settings, self.timer),
            claims=LocalClaims(settings),
            limits=NoLimits(),
            retries=FreeRetries(),
            choose=choose_least_loaded,
            entries=configuration.entries,
            timer=self.timer,
        )
        key = settings.cluster_key_file.read_bytes().strip()
        self.exchange = ExchangeTask.from_config(
            settings,
            key,
            ports,
            self.metrics,
        )

    async def start(self) -> None:
        """Start every part."""
        await self.exchange.start()
        log_change('entry:started', vm=self.settings.name)

    async def run(self) -> None:
        """Serve until told to stop, then finish what is in progress."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            # A second signal sets what is set already: nothing is cut.
            loop.add_signal_handler(number, self.stopping.set)
        await self.start()
        await self.stopping.wait()
        log_change('entry:draining', vm=self.settings.name)
        await self.close()
        log_change('entry:stopped', vm=self.settings.name)

    async def close(self) -> None:
        """Finish every request, within the settings' limit if there is one."""
        try:
            async with asyncio.timeout(self.settings.drain_limit_s):
                await self.exchange.close()
        except TimeoutError:
            log_change('entry:drain_cut', vm=self.settings.name)
        self.timer.close()


async def run_entry(settings: EntrySettings, manifest: Path) -> None:
    """Run an entry process to its end."""
    await EntryProcess(settings, manifest).run()


class ManifestMissingError(GodwitshuntError):
    """No manifest was named, and no control VM is wired yet."""


def entry(settings: Path, *, manifest: Path | None = None) -> int:
    """Run the process of an entry VM.

    It takes callers' requests and upstreams' announcements. SIGTERM lets it
    finish every request in progress and end.

    Parameters
    ----------
    settings : Path
        The settings file, in JSON; docs/operators/settings.md tells each field.
    manifest
        Run alone under this manifest, without control VMs; for trials.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 for wrong settings.
    """
    try:
        if manifest is None:
            raise ManifestMissingError('--manifest FILE is needed')
        loaded = read_settings(settings, EntrySettings)
        open_log(loaded.log.path)
        asyncio.run(run_entry(loaded, manifest))
    except GodwitshuntError as wrong:
        print(wrong, file=sys.stderr)
        return WRONG_INPUT
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))


if __name__ == '__main__':
    main()
