"""Keeping a control VM's table of upstreams on its disk."""

import asyncio

from godwitshunt.exceptions import StorageError
from godwitshunt.quarantine import SuspectTable
from godwitshunt.registry.kept_upstreams import KeptUpstreams
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer


class UpstreamKeeper:
    """Writes a table of upstreams, and takes up what was written.

    Parameters
    ----------
    kept : KeptUpstreams or None
        Where it is kept; None keeps nothing.
    upstreams : UpstreamTable
        The table.
    suspects : SuspectTable
        Requests that were lost to upstreams, kept beside it.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts failures of the disk.
    """

    def __init__(
        self,
        kept: KeptUpstreams | None,
        upstreams: UpstreamTable,
        suspects: SuspectTable,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.kept = kept
        self.upstreams = upstreams
        self.suspects = suspects
        self.timer = timer
        self.metrics = metrics
        self.written_version = 0
        self.written_suspects = 0
        self.writing = asyncio.Lock()
        self.disk_fault = ''

    @property
    def is_due(self) -> bool:
        """True where something is known that is not on disk."""
        if self.kept is None:
            return False
        is_behind = self.written_version < self.upstreams.version
        return is_behind or self.written_suspects < self.suspects.version

    def restore(self) -> None:
        """Take up what this VM knew before its process ended.

        Raises
        ------
        StorageError
            Where the data folder cannot be read.
        """
        now_s = self.timer.now()
        if self.kept is None:
            return
        if self.kept.restore(self.upstreams, self.suspects, now_s):
            self.written_version = self.upstreams.version
            self.written_suspects = self.suspects.version
            log_change(
                'registry:kept_taken',
                upstreams=sorted(self.upstreams.entries),
                gone=len(self.upstreams.gone),
                suspects=len(self.suspects.records),
            )

    async def flush(self) -> bool:
        """Wait until what is known now is on disk; False where it failed."""
        if self.kept is None:
            return True
        version = self.upstreams.version
        if self.written_version < version:
            await self.keep()
        return self.written_version >= version

    async def keep(self) -> None:
        """Write what is known of upstreams; a failure is counted."""
        async with self.writing:
            if not self.is_due:
                return
            suspects_version = self.suspects.version
            now_s = self.timer.now()
            record = self.kept.render(self.upstreams, self.suspects, now_s)
            try:
                await asyncio.to_thread(self.kept.file.write, record)
            except StorageError as failed:
                self.metrics.count('registry_keep_failed_total')
                self.note_disk(failed.reason)
                return
            self.written_version = record.number
            self.written_suspects = suspects_version
            self.note_disk('')

    def note_disk(self, reason: str) -> None:
        """Log where the disk fails and where it is well again, once each."""
        if reason and not self.disk_fault:
            log_change('registry:keep_failed', reason=reason)
        if self.disk_fault and not reason:
            log_change('registry:keep_recovered', reason=self.disk_fault)
        self.disk_fault = reason
