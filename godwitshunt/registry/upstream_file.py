"""The file in which a control VM stores its table of upstreams.

After an outage of all machines upstreams announce themselves again one by one
over a second or more. Until then the stored upstreams are better candidates
than none.
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
from godwitshunt.storage import AtomicFile, StoredRecord
from godwitshunt.telemetry import log_change

FILE_NAME = 'upstreams.bin'
MAGIC = b'GWU1'


@dataclass(frozen=True)
class UpstreamFile:
    """One file that always contains one complete table of upstreams."""

    folder: Path

    @property
    def storage(self) -> AtomicFile:
        """The file on disk."""
        return AtomicFile(self.folder / FILE_NAME, MAGIC)

    def restore(
        self,
        table: UpstreamTable,
        suspects: SuspectTable,
        now_s: float,
    ) -> bool:
        """Load the stored tables into empty ones; False if there are none.

        Raises
        ------
        StorageError
            If the folder exists but cannot be read.
        """
        stored = self.storage.read()
        if stored is None:
            return False
        try:
            message = decode(ttypes.KeptUpstreams, stored.body)
            upstreams = [
                upstream_from_wire(upstream) for upstream in message.upstreams
            ]
            ends = ends_from_wire(message.gone)
            lost = suspects_from_wire(message.suspects, now_s)
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
    ) -> StoredRecord:
        """Return the record to store.

        Of the lost requests only suspected ones are stored.
        """
        lost = suspects.since(0, SUSPECTED_CRASHES)
        body = ttypes.KeptUpstreams(
            upstreams=[
                upstream_to_wire(entry, now_s)
                for entry in table.entries.values()
            ],
            gone=ends_to_wire(table.ended_since(0)),
            suspects=suspects_to_wire(lost, now_s),
        )
        return StoredRecord(table.version, encode(body))
