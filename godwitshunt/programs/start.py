"""What every program makes of its settings before it can start."""

from collections.abc import Awaitable, Callable

from godwitshunt.configuration import VmRecord, VmRole
from godwitshunt.exceptions import FieldProblem, SettingsError
from godwitshunt.peer import (
    PeerLinks,
    PeerOptions,
    client_context,
    server_context,
)
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.telemetry import Metrics

SETTINGS = 'settings'


def read_cluster_key(settings: NodeSettings) -> bytes:
    """Read the key that processes of one deployment share.

    Raises
    ------
    SettingsError
        Where the file is missing, unreadable or empty.
    """
    path = settings.cluster_key_file
    expected = 'a readable file with the cluster key'
    try:
        key = path.read_bytes().strip()
    except OSError as failed:
        found = f'{path} ({failed.strerror})'
        problem = FieldProblem('cluster_key_file', found, expected)
        raise SettingsError(SETTINGS, (problem,)) from None
    if not key:
        problem = FieldProblem('cluster_key_file', f'{path} (empty)', expected)
        raise SettingsError(SETTINGS, (problem,))
    return key


async def start_listening(
    start: Callable[[], Awaitable[None]],
    field: str,
    address: Address,
) -> None:
    """Start a listener; tell the settings' field where that fails.

    Raises
    ------
    SettingsError
        Where the address is another process's or not this VM's.
    """
    try:
        await start()
    except OSError as failed:
        problem = FieldProblem(
            field,
            f'{address} ({failed.strerror})',
            'a free address of this VM',
        )
        raise SettingsError(SETTINGS, (problem,)) from None


def make_links(settings: NodeSettings, metrics: Metrics) -> PeerLinks:
    """Make the peer links of a process."""
    options = PeerOptions(
        name=settings.name,
        listen=settings.peer,
        key=read_cluster_key(settings),
        frame_bytes=settings.limits.frame_bytes,
        server_tls=server_context(settings.tls),
        client_tls=client_context(settings.tls),
    )
    return PeerLinks.from_config(options, metrics)


def vm_record(settings: NodeSettings, role: VmRole, session: str) -> VmRecord:
    """Return the record that a VM tells control of itself."""
    return VmRecord(
        name=settings.name,
        region=settings.region,
        failure_domain=settings.failure_domain,
        role=role,
        http=settings.http_endpoint,
        peer=settings.peer_endpoint,
        session=session,
    )
