"""What every program does with its settings before it can start."""

from collections.abc import Awaitable, Callable

from godwitshunt.exceptions import FieldProblem, SettingsError
from godwitshunt.settings import Address, NodeSettings

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
