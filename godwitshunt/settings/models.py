"""Models of the settings files.

Durations are in seconds and sizes in bytes.
"""

from pathlib import Path

from pydantic import Field

from godwitshunt.manifest import Service
from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.quarantine import QUARANTINE_S

KIBIBYTE = 1024
MEBIBYTE = KIBIBYTE * KIBIBYTE


class Address(StrictModel):
    """An IP address and a TCP port to listen on or connect to."""

    host: str
    port: int = Field(ge=1, le=65535)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class TlsSettings(StrictModel):
    """Paths of a TLS certificate, its private key and the trusted authority."""

    certificate: Path
    key: Path
    authority: Path | None = None


class LimitSettings(StrictModel):
    """Limits on network input of a process.

    Parameters
    ----------
    buffer_bytes : int or None
        Largest total of what an entry VM holds for slow callers and slow
        upstreams; None for no limit.
    """

    header_bytes: int = Field(default=16 * KIBIBYTE, ge=KIBIBYTE)
    body_bytes: int = Field(default=8 * MEBIBYTE, ge=KIBIBYTE)
    answer_bytes: int = Field(default=8 * MEBIBYTE, ge=KIBIBYTE)
    frame_bytes: int = Field(default=4 * MEBIBYTE, ge=KIBIBYTE)
    read_timeout_s: float = Field(default=10.0, gt=0)
    connections: int = Field(default=4096, ge=1)
    buffer_bytes: int | None = Field(default=None, ge=MEBIBYTE)


class LogSettings(StrictModel):
    """Log file; None for standard error."""

    path: Path | None = None


class NodeSettings(StrictModel):
    """Settings that all programs share.

    Parameters
    ----------
    name : str
        The VM's name, unique in the deployment.
    region : str
        The VM's region.
    failure_domain : str
        The VM's failure domain.
    http : Address
        Listening address for callers, upstreams and operators.
    peer : Address
        Listening address for other processes of the deployment.
    control : tuple of Address
        Peer addresses of the control replicas.
    cluster_key_file : Path
        File with the secret key that all processes of a deployment share.
    data_folder : Path or None
        Folder for persistent state; None if the VM has no disk.
    peers : tuple of Address
        Peer addresses of other VMs of the region. A VM that restarts without
        a disk requests the newest revision from them if no control replica
        answers.
    http_advertised, peer_advertised : Address or None
        Addresses that other processes connect to, if they differ from the
        listening addresses (network address translation); None otherwise.
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
        """Address at which other processes reach the HTTP listener."""
        return self.http_advertised or self.http

    @property
    def peer_endpoint(self) -> Address:
        """Address at which other processes reach the peer listener."""
        return self.peer_advertised or self.peer


class FirstVoterSettings(StrictModel):
    """A control replica that is an initial voter of a new cluster."""

    name: Name
    address: Address


class EntrySettings(NodeSettings):
    """Settings of ``godwitshunt-entry``.

    Parameters
    ----------
    isolation_lease_s : float
        Seconds without an update from a control quorum after which the VM
        considers itself isolated.
    upstream_lease_s : float
        Seconds after its last announcement until an upstream gets no more
        requests.
    drain_limit_s : float or None
        Seconds after which a graceful shutdown cancels the requests in
        progress; None to wait until all of them have ended.
    upstream_token_sha256 : str or None
        SHA-256 of the token that authenticates announcements of upstreams,
        in hexadecimal; None to accept announcements without a token.
    """

    isolation_lease_s: float = Field(default=3.0, gt=0, le=10)
    upstream_lease_s: float = Field(default=2.5, gt=0, le=3)
    drain_limit_s: float | None = None
    upstream_token_sha256: str | None = Field(
        default=None,
        pattern='^[0-9a-f]{64}$',
    )


class BoundSettings(StrictModel):
    """Limits that hold for all entry VMs of a deployment together.

    Parameters
    ----------
    retry_share : float
        Largest number of retries to upstreams of a service, as a share of
        the requests that callers sent.
    retry_allowance : float
        Retries allowed beyond that share.
    retry_window_s : float
        Length in seconds of the sliding window over which both are counted.
    cold_factor, cold_allowance : float
        In any second, a cold upstream gets at most its configured rate times
        the factor, plus the allowance.
    limit_allowance : float
        Units by which the admitted requests of an organisation may exceed its
        limit in a window of a few seconds, because VMs learn of each other's
        admissions with a delay.
    revoke_s : float or None
        Seconds, counted from the acknowledgement of a key's revocation, within
        which every VM, including isolated ones, begins to reject the key;
        None if this is required only of VMs in contact with a quorum.
    quarantine_s : float
        Seconds for which a request is not sent to any upstream after three or
        more upstreams terminated while running it, counted from the last
        termination.
    """

    retry_share: float = Field(default=0.1, ge=0, le=1)
    retry_allowance: float = Field(default=10.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    cold_factor: float = Field(default=1.0, ge=0)
    cold_allowance: float = Field(default=0.0, ge=0)
    limit_allowance: float = Field(default=0.0, ge=0)
    revoke_s: float | None = Field(default=None, gt=0.5)
    quarantine_s: float = Field(default=QUARANTINE_S, gt=0)


class SchedulingSettings(StrictModel):
    """Rules for services whose engines have few slots.

    One long prompt takes a large share of such an engine.

    Parameters
    ----------
    admission_max_slots : int
        Engines with at most this many slots get no request beyond their
        memory, and their less urgent requests leave capacity for more urgent
        ones; 0 for no engines.
    queue_max_slots : int
        A service is scheduled, so that its requests wait in a queue of their
        region, if its engines have at most this many slots; 0 if no service
        is.
    uses_grants : bool
        Whether requests to scheduled services are handed over to other regions
        only within capacity that these have granted.
    """

    admission_max_slots: int = Field(default=0, ge=0)
    queue_max_slots: int = Field(default=0, ge=0)
    uses_grants: bool = False

    def limits_admission(self, service: Service) -> bool:
        """Return whether engines of a service get limited work."""
        engine = service.engine
        return engine is not None and engine.slots <= self.admission_max_slots

    def applies_to(self, service: Service) -> bool:
        """Return whether the requests to a service are queued."""
        engine = service.engine
        return engine is not None and engine.slots <= self.queue_max_slots

    def needs_grants(self, service: Service) -> bool:
        """Return whether a service's requests are handed over by grants."""
        return self.uses_grants and self.applies_to(service)


class IngressSettings(NodeSettings):
    """Settings of ``godwitshunt-ingress``.

    Parameters
    ----------
    hop : Address
        Listening address for requests forwarded by entry VMs of other regions.
    domains : dict
        Region of each failure domain of the deployment.
    bounds : BoundSettings
        Limits that hold for all entry VMs together.
    farewell_s : float
        Seconds for which a VM that is shutting down still accepts requests,
        to serve callers with an outdated directory.
    drain_limit_s : float
        Seconds after which a shutdown cancels the requests in progress.
    away_s : float
        Penalty, in seconds of waiting, for serving a request in another
        region.
    is_first_start : bool
        Whether the whole deployment starts for the first time. Set for later
        starts, too, a VM retries more than its part of the limit.
    """

    hop: Address
    domains: dict[Name, Name] = Field(default_factory=dict)
    bounds: BoundSettings = BoundSettings()
    farewell_s: float = Field(default=2.0, ge=0)
    drain_limit_s: float = Field(default=7.3, gt=0)
    away_s: float = Field(default=0.0, ge=0)
    is_first_start: bool = False


class ControlSettings(NodeSettings):
    """Settings of ``godwitshunt-control``.

    Parameters
    ----------
    operator_token_sha256 : str
        SHA-256 of the token that authenticates operators, in hexadecimal.
    election_timeout_s : float
        Shortest time in seconds without a leader until a replica starts an
        election.
    weight_store_units_per_s : float
        Units (loads of model weights) per second that the weight store allows
        for the whole deployment; must be equal on all control replicas.
    weight_store_burst : float
        Units that the weight store allows in one burst.
    first_voters : tuple of FirstVoterSettings
        Initial voters, including this replica, of a cluster that starts
        without an operator. Must be equal on all of them and set only for
        the first start of the deployment. Empty if ``godwitshunt init``
        starts the cluster, on every later start, and on replicas that join.
    heals : bool
        Whether the leader replaces lost replicas automatically.
    keeps_revision : bool
        Whether a replica also stores its newest committed revision outside
        the log and, after a restart, serves it to VMs before a leader is
        elected.
    keeps_upstreams : bool
        Whether a replica stores the table of announced upstreams and, after
        a restart, serves it to VMs before the upstreams announce themselves
        again.
    domains : dict
        Region of each failure domain of the deployment.
    bounds : BoundSettings
        Limits that hold for all entry VMs together; enforced by the replica
        that chooses destinations for the entry VMs of its region.
    scheduling : SchedulingSettings
        Services whose requests wait in a queue.
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
    scheduling: SchedulingSettings = SchedulingSettings()
