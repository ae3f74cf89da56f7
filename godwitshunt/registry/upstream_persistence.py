"""Persistence of a control VM's table of upstreams."""

import asyncio

from godwitshunt.exceptions import StorageError
from godwitshunt.quarantine import SuspectTable
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.upstream_file import UpstreamFile
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Timer


class UpstreamPersistence:
    """Writes the table of upstreams to disk and restores it at the start.

    Parameters
    ----------
    file : UpstreamFile or None
        Where the table is stored; None disables persistence.
    upstreams : UpstreamTable
        The table.
    suspects : SuspectTable
        Requests that were lost to upstreams, stored in the same file.
    timer : Timer
        Monotonic time.
    metrics : Metrics
        Counts disk failures.
    """

    def __init__(
        self,
        file: UpstreamFile | None,
        upstreams: UpstreamTable,
        suspects: SuspectTable,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.file = file
        self.upstreams = upstreams
        self.suspects = suspects
        self.timer = timer
        self.metrics = metrics
        self.written_version = 0
        self.written_suspects_version = 0
        self.write_lock = asyncio.Lock()
        self.disk_fault = ''

    @property
    def is_due(self) -> bool:
        """True if there are changes that are not on disk."""
        if self.file is None:
            return False
        is_behind = self.written_version < self.upstreams.version
        return (
            is_behind or self.written_suspects_version < self.suspects.version
        )

    def restore(self) -> None:
        """Restore the tables that the previous process stored.

        Raises
        ------
        StorageError
            If the data folder cannot be read.
        """
        now_s = self.timer.now()
        if self.file is None:
            return
        if self.file.restore(self.upstreams, self.suspects, now_s):
            self.written_version = self.upstreams.version
            self.written_suspects_version = self.suspects.version
            log_change(
                'registry:kept_taken',
                upstreams=sorted(self.upstreams.entries),
                gone=len(self.upstreams.tombstones),
                suspects=len(self.suspects.records),
            )

    async def flush(self) -> bool:
        """Wait until the current state is on disk; False if that failed."""
        if self.file is None:
            return True
        version = self.upstreams.version
        if self.written_version < version:
            await self.write()
        return self.written_version >= version

    async def write(self) -> None:
        """Write the tables to disk; a failure is counted and logged."""
        async with self.write_lock:
            if not self.is_due:
                return
            suspects_version = self.suspects.version
            now_s = self.timer.now()
            record = self.file.render(self.upstreams, self.suspects, now_s)
            try:
                await asyncio.to_thread(self.file.storage.write, record)
            except StorageError as failed:
                self.metrics.count('registry_keep_failed_total')
                self.record_disk_state(failed.reason)
                return
            self.written_version = record.number
            self.written_suspects_version = suspects_version
            self.record_disk_state('')

    def record_disk_state(self, reason: str) -> None:
        """Log once when the disk begins to fail and once when it recovers.

        Parameters
        ----------
        reason : str
            Why the write failed; empty if it succeeded.
        """
        if reason and not self.disk_fault:
            log_change('registry:keep_failed', reason=reason)
        if self.disk_fault and not reason:
            log_change('registry:keep_recovered', reason=self.disk_fault)
        self.disk_fault = reason
