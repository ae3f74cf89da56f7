"""What is in force: one revision of the whole configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.manifest import Manifest
from godwitshunt.settings import Address


class VmRole(StrEnum):
    """What a VM's process does."""

    entry = 'entry'
    control = 'control'


@dataclass(frozen=True)
class VmRecord:
    """A VM of the system, as committed in the replicated log.

    Parameters
    ----------
    name, region, failure_domain : str
        As in the VM's settings.
    role : VmRole
        Entry or control process.
    http, peer : Address
        Where callers and where peers reach it.
    session : str
        Drawn anew at each start of the process; empty where it keeps no
        claims.
    """

    name: str
    region: str
    failure_domain: str
    role: VmRole
    http: Address
    peer: Address
    session: str = ''


@dataclass(frozen=True)
class HolderSet:
    """The claim holders of a region under one generation number.

    A key is bound for ever to the generation that it was stamped under, so
    that two VMs with different views of the holders never count different
    majorities for one key.

    Parameters
    ----------
    names : tuple of str
        The holders' VMs; never changed under one generation.
    sessions : tuple of str
        For each name, the session (drawn at the process's start, told in its
        heartbeats) that was running when the set was committed. A process of
        another session may have forgotten votes of the one that is listed,
        and abstains until it has recovered.
    """

    region: str
    generation: int
    names: tuple[str, ...]
    sessions: tuple[str, ...] = ()


@dataclass(frozen=True)
class Revision:
    """One committed configuration.

    Parameters
    ----------
    revision : int
        Position in the order of accepted changes; only a higher one applies.
    digest : str
        SHA-256 of the manifest's canonical form, in hexadecimal.
    manifest : Manifest
        The operator's manifest.
    vms : tuple of VmRecord
        Every admitted VM.
    holders : tuple of HolderSet
        Current and still valid earlier claim holders of each region.
    evacuated : frozenset of str
        Failure domains whose upstreams get nothing.
    """

    revision: int
    digest: str
    manifest: Manifest
    vms: tuple[VmRecord, ...] = ()
    holders: tuple[HolderSet, ...] = ()
    evacuated: frozenset[str] = frozenset()


RevisionCallback = Callable[[Revision], None]
