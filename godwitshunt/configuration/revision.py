"""Revisions of the configuration and the records that they hold."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from godwitshunt.manifest import Manifest
from godwitshunt.settings import Address


class VmRole(StrEnum):
    """Role of a VM's process."""

    entry = 'entry'
    control = 'control'


@dataclass(frozen=True)
class VmRecord:
    """A VM of the system, as committed in the replicated log.

    Parameters
    ----------
    name, region, failure_domain : str
        From the VM's settings.
    role : VmRole
        Entry or control process.
    http, peer : Address
        Addresses for callers and for peers.
    session : str
        Random, new at each start of the process; empty if it holds no claims.
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

    A key stays bound to the generation of its stamp, so that two VMs with
    different views of the holders never count different majorities for one
    key.

    Parameters
    ----------
    names : tuple of str
        VMs that hold claims; fixed within a generation.
    sessions : tuple of str
        For each name, the session of the VM's process when the set was
        committed. A process with another session may have lost votes of the
        listed one and abstains until it has recovered.
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
        Position in the order of committed changes; it only rises on a VM.
    digest : str
        SHA-256 of the manifest's canonical form, in hexadecimal.
    manifest : Manifest
        The operator's manifest.
    vms : tuple of VmRecord
        Every admitted VM.
    holders : tuple of HolderSet
        Current and still valid earlier claim holder sets of each region.
    evacuated : frozenset of str
        Failure domains whose upstreams receive no requests.
    """

    revision: int
    digest: str
    manifest: Manifest
    vms: tuple[VmRecord, ...] = ()
    holders: tuple[HolderSet, ...] = ()
    evacuated: frozenset[str] = frozenset()


RevisionCallback = Callable[[Revision], None]
