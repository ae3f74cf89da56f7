"""Models of the settings files. Durations are seconds, sizes are bytes."""

from pathlib import Path

from pydantic import Field

from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.quarantine import QUARANTINE_S

KIBIBYTE = 1024
MEBIBYTE = KIBIBYTE * KIBIBYTE


class Address(StrictModel):
    """An IP address and a TCP port to listen on or to reach."""

    host: str
    port: int = Field(ge=1, le=65535)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class TlsSettings(StrictModel):
    """Files of a certificate, its key, and the authority that peers trust."""

    certificate: Path
    key: Path
    authority: Path | None = None


class LimitSettings(StrictModel):
    """Bounds on what a process reads from outside."""

    header_bytes: int = Field(default=16 * KIBIBYTE, ge=KIBIBYTE)
    body_bytes: int = Field(default=8 * MEBIBYTE, ge=KIBIBYTE)
    answer_bytes: int = Field(default=8 * MEBIBYTE, ge=KIBIBYTE)
    frame_bytes: int = Field(default=4 * MEBIBYTE, ge=KIBIBYTE)
    read_timeout_s: float = Field(default=10.0, gt=0)
    connections: int = Field(default=4096, ge=1)


class LogSettings(StrictModel):
    """Where log lines go; None is standard error."""

    path: Path | None = None


class NodeSettings(StrictModel):
    """What every process of the system is told about itself.

    Parameters
    ----------
    name : str
        The VM's name, unique in the deployment.
    region : str
        The region it stands in.
    failure_domain : str
        The failure domain it stands in.
    http : Address
        Where callers, upstreams and operators reach it.
    peer : Address
        Where other processes of the system reach it.
    control : tuple of Address
        Peer addresses of the control replicas.
    cluster_key_file : Path
        File with the key that processes of one deployment share.
    data_folder : Path or None
        Folder for state that must survive; None where the VM has no disk.
    peers : tuple of Address
        Peer addresses of other VMs of the region. One that restarts without
        a disk asks them for the newest revision where no control replica
        answers.
    http_advertised, peer_advertised : Address or None
        Where others reach the two listeners, where that is another address
        than the one listened on (address translation); None where it is not.
    """

    name: Name
    region: Name
    failure_domain: Name
    http: Address
    peer: Address
    control: tuple[Address, ...] = Field(min_length=1)
    cluster_key_file: Path
    data_folder: Path | None = None
    peers: tuple[Address, ...] = ()
    http_advertised: Address | None = None
    peer_advertised: Address | None = None
    tls: TlsSettings | None = None
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()

    @property
    def http_endpoint(self) -> Address:
        """Where others reach the HTTP listener."""
        return self.http_advertised or self.http

    @property
    def peer_endpoint(self) -> Address:
        """Where others reach the peer listener."""
        return self.peer_advertised or self.peer


class FirstVoterSettings(StrictModel):
    """A control replica that a new cluster begins with."""

    name: Name
    address: Address


class EntrySettings(NodeSettings):
    """Settings of ``godwitshunt-entry``.

    Parameters
    ----------
    isolation_lease_s : float
        Seconds without news of a control quorum until the VM holds itself
        isolated.
    upstream_lease_s : float
        Seconds after the last announcement until an upstream gets no work.
    drain_limit_s : float or None
        Seconds after which a graceful shutdown cuts what is in progress;
        None waits for the end of every request.
    upstream_token_sha256 : str or None
        SHA-256 of the token that upstreams announce themselves with, in
        hexadecimal; None takes announcements from everyone who can connect.
    """

    isolation_lease_s: float = Field(default=3.0, gt=0, le=10)
    upstream_lease_s: float = Field(default=2.5, gt=0, le=3)
    drain_limit_s: float | None = None
    upstream_token_sha256: str | None = Field(
        default=None,
        pattern='^[0-9a-f]{64}$',
    )


class BoundSettings(StrictModel):
    """What all entry VMs together may do, as the deployment states it.

    Parameters
    ----------
    retry_share : float
        Requests that upstreams of a service get again, as a share of those
        that callers sent.
    retry_allowance : float
        Requests that they may get again beyond that share.
    retry_window_s : float
        Length of the sliding window in which both hold, in seconds.
    cold_factor, cold_allowance : float
        A cold upstream gets, in any second, at most its stated rate times the
        factor, plus the allowance.
    limit_allowance : float
        Units that an organisation may be admitted in a window of some seconds
        beyond its limit, for what VMs cannot know of one another at once.
    revoke_s : float or None
        Seconds after the acknowledgement that took a key away in which it
        ceases to open anything, on every VM, also one that is cut off; None
        where that is owed only by VMs in touch with a quorum.
    quarantine_s : float
        Seconds for which a request is not sent, from when the last of three
        upstreams or more ended under it.
    """

    retry_share: float = Field(default=0.1, ge=0, le=1)
    retry_allowance: float = Field(default=10.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    cold_factor: float = Field(default=1.0, ge=0)
    cold_allowance: float = Field(default=0.0, ge=0)
    limit_allowance: float = Field(default=0.0, ge=0)
    revoke_s: float | None = Field(default=None, gt=0.5)
    quarantine_s: float = Field(default=QUARANTINE_S, gt=0)


class IngressSettings(NodeSettings):
    """Settings of ``godwitshunt-ingress``.

    Parameters
    ----------
    hop : Address
        Where entry VMs of other regions hand requests over.
    domains : dict
        Region of each failure domain of the deployment.
    bounds : BoundSettings
        What all entry VMs together may do.
    farewell_s : float
        Seconds for which a VM that is told to stop still takes requests, so
        that callers with an older directory are served.
    drain_limit_s : float
        Seconds after which a shutdown cuts what is in progress.
    away_s : float
        Seconds of waiting that serving in the own region is worth.
    """

    hop: Address
    domains: dict[Name, Name] = Field(default_factory=dict)
    bounds: BoundSettings = BoundSettings()
    farewell_s: float = Field(default=2.0, ge=0)
    drain_limit_s: float = Field(default=7.3, gt=0)
    away_s: float = Field(default=0.0, ge=0)


class ControlSettings(NodeSettings):
    """Settings of ``godwitshunt-control``.

    Parameters
    ----------
    operator_token_sha256 : str
        SHA-256 of the token that operators send, in hexadecimal.
    election_timeout_s : float
        Shortest time without a leader until a replica asks for votes.
    weight_store_units_per_s : float
        Units (loads of weights) that the weight store allows each second, for
        the whole deployment; the same on every control replica.
    weight_store_burst : float
        Units that it allows at once.
    first_voters : tuple of FirstVoterSettings
        Replicas, this one among them, that a cluster without an operator
        begins with; the same on each of them, and set only for the first
        start of the whole deployment. Empty where ``godwitshunt init`` starts
        the cluster, on every later start, and on replicas that join.
    heals : bool
        True where the leader replaces lost replicas by itself.
    keeps_revision : bool
        True where a replica keeps its newest committed revision beside the
        log, and tells VMs of it after a restart before a leader is elected.
    keeps_upstreams : bool
        True where a replica keeps what it knows of announced upstreams, and
        tells VMs of them after a restart before they announce themselves.
    domains : dict
        Region of each failure domain of the deployment.
    bounds : BoundSettings
        What all entry VMs together may do; a replica that gives places to
        those of its region keeps it for them.
    """

    data_folder: Path
    operator_token_sha256: str = Field(pattern='^[0-9a-f]{64}$')
    election_timeout_s: float = Field(default=1.0, gt=0)
    heartbeat_s: float = Field(default=0.2, gt=0)
    weight_store_units_per_s: float = Field(default=1.0, gt=0)
    weight_store_burst: float = Field(default=10.0, ge=1)
    first_voters: tuple[FirstVoterSettings, ...] = ()
    heals: bool = False
    keeps_revision: bool = False
    keeps_upstreams: bool = False
    domains: dict[Name, Name] = Field(default_factory=dict)
    bounds: BoundSettings = BoundSettings()
