"""Loads of upstreams that state which of them have changed; no I/O."""

from collections.abc import Iterable, Mapping

from godwitshunt.registry.records import Load

# Changes to remember. A reader that is further behind reads all loads again.
MAX_CHANGES = 1024


class LoadTable(dict[str, Load]):
    """Loads by incarnation, with the incarnations that changed last.

    Items are set and removed with ``table[name] = load`` and `pop` only. There
    may be several readers, each of which keeps the version that it has read.

    Examples
    --------
    >>> table = LoadTable()
    >>> version = table.version
    >>> table['i-1'] = Load(1, 5)
    >>> list(table.changed_since(version)), table.version
    (['i-1'], 1)
    """

    def __init__(self) -> None:
        super().__init__()
        self.first_version = 0
        self.changes: list[str] = []

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self.first_version + len(self.changes)

    def __setitem__(self, instance: str, load: Load) -> None:
        super().__setitem__(instance, load)
        self.record_change(instance)

    def pop(self, instance: str, *default: Load | None) -> Load | None:
        """Remove a load and return it."""
        removed = super().pop(instance, *default)
        self.record_change(instance)
        return removed

    def record_change(self, instance: str) -> None:
        """Record that the load of an upstream has changed."""
        if len(self.changes) >= MAX_CHANGES:
            self.first_version += len(self.changes)
            self.changes.clear()
        self.changes.append(instance)

    def replace_all(self, loads: Mapping[str, Load]) -> None:
        """Replace the contents; only those that differ count as changes."""
        for absent in self.keys() - loads.keys():
            self.pop(absent)
        for instance, load in loads.items():
            if self.get(instance) != load:
                self[instance] = load

    def changed_since(self, version: int) -> Iterable[str] | None:
        """Return the changes after a version; None if they are forgotten."""
        if version < self.first_version:
            return None
        return self.changes[version - self.first_version :]
