"""A file system in memory that loses what was not synced."""

from dataclasses import dataclass, field

from godwitshunt.exceptions import StorageLocked


class PowerLoss(Exception):
    """The machine stops here."""


@dataclass
class MemoryFile:
    """A file: what is written, and what would outlast a loss of power."""

    content: bytes = b''
    durable: bytes = b''

    def lose(self, kept_bytes: int) -> None:
        """Keep what was synced, and some bytes of what was appended."""
        if self.content.startswith(self.durable):
            kept = self.content[: len(self.durable) + kept_bytes]
        else:
            kept = self.content if kept_bytes else self.durable
        self.content = kept
        self.durable = kept


@dataclass
class MemoryFileSystem:
    """Files of one folder, and the point at which power is lost.

    Every call that changes something has a point before and one after it;
    `stop_at` counts down over these points. With `keeps_cache` only the
    process is killed there: what it wrote can be read, and lost later.
    """

    names: dict[str, MemoryFile] = field(default_factory=dict)
    durable_names: dict[str, MemoryFile] = field(default_factory=dict)
    stop_at: int | None = None
    points: int = 0
    locked: bool = False
    keeps_cache: bool = False

    def open(self) -> None:
        if self.locked:
            raise StorageLocked('memory', 'in use')
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def point(self) -> None:
        self.points += 1
        if self.stop_at is not None:
            self.stop_at -= 1
            if self.stop_at < 0:
                raise PowerLoss

    def read(self, name: str) -> bytes | None:
        return self.names[name].content if name in self.names else None

    def write_new(self, name: str, blob: bytes) -> None:
        self.point()
        self.names[name] = MemoryFile(blob)
        self.point()

    def append(self, name: str, blob: bytes) -> None:
        self.point()
        self.names[name].content += blob
        self.point()

    def truncate(self, name: str, size_bytes: int) -> None:
        self.point()
        self.names[name].content = self.names[name].content[:size_bytes]
        self.point()

    def rename(self, old: str, new: str) -> None:
        self.point()
        self.names[new] = self.names.pop(old)
        self.point()

    def sync(self, name: str) -> None:
        self.point()
        self.names[name].durable = self.names[name].content
        self.point()

    def sync_folder(self) -> None:
        self.point()
        self.durable_names = dict(self.names)
        self.point()

    def lose_power(self, kept_bytes: int = 0) -> None:
        """Stop the machine; unsynced names stay where any byte stays."""
        self.names = dict(self.names if kept_bytes else self.durable_names)
        self.durable_names = dict(self.names)
        for file in self.names.values():
            file.lose(kept_bytes)
        self.locked = False
        self.stop_at = None

    def stop(self) -> None:
        """Stop the process, or the whole machine, at the point reached."""
        if self.keeps_cache:
            self.locked = False
            self.stop_at = None
        else:
            self.lose_power()
        self.keeps_cache = False

    def corrupt(self, name: str, offset: int) -> None:
        """Change one byte of a file."""
        file = self.names[name]
        blob = bytearray(file.content)
        blob[offset % len(blob)] ^= 0xFF
        file.content = bytes(blob)
        file.durable = file.content
