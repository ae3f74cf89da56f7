"""What a control VM last knew of upstreams, on its disk.

After all machines were dark upstreams announce themselves again one by one,
for a second and more; callers are better served by those that were there.
"""

from dataclasses import dataclass
from pathlib import Path

from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode, encode
from godwitshunt.quarantine import SUSPECTED_CRASHES, SuspectTable
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.suspect_wire import (
    suspects_from_wire,
    suspects_to_wire,
)
from godwitshunt.registry.table import UpstreamTable
from godwitshunt.registry.wire import (
    ends_from_wire,
    ends_to_wire,
    upstream_from_wire,
    upstream_to_wire,
)
from godwitshunt.storage import KeptFile, KeptRecord
from godwitshunt.telemetry import log_change

FILE_NAME = 'upstreams.bin'
MAGIC = b'GWU1'


@dataclass(frozen=True)
class KeptUpstreams:
    """One file that always holds one whole table of upstreams."""

    folder: Path

    @property
    def file(self) -> KeptFile:
        """Where the table is kept."""
        return KeptFile(self.folder / FILE_NAME, MAGIC)

    def restore(
        self,
        table: UpstreamTable,
        suspects: SuspectTable,
        now_s: float,
    ) -> bool:
        """Put what was kept into empty tables; False where there is none.

        Raises
        ------
        StorageError
            Where the folder exists but cannot be read.
        """
        kept = self.file.read()
        if kept is None:
            return False
        try:
            told = decode(ttypes.KeptUpstreams, kept.body)
            upstreams = [upstream_from_wire(one) for one in told.upstreams]
            ends = ends_from_wire(told.gone)
            lost = suspects_from_wire(told.suspects, now_s)
        except (FrameError, TypeError) as fault:
            log_change('registry:kept_unreadable', fault=repr(fault))
            return False
        table.restore(upstreams, ends, now_s)
        suspects.join(lost)
        return True

    def render(
        self,
        table: UpstreamTable,
        suspects: SuspectTable,
        now_s: float,
    ) -> KeptRecord:
        """Return tables as they are kept.

        Of lost requests only those are kept that are suspected.
        """
        lost = suspects.since(0, SUSPECTED_CRASHES)
        body = ttypes.KeptUpstreams(
            upstreams=[
                upstream_to_wire(one, now_s) for one in table.entries.values()
            ],
            gone=ends_to_wire(table.gone_since(0)),
            suspects=suspects_to_wire(lost, now_s),
        )
        return KeptRecord(table.version, encode(body))
