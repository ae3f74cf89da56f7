"""Between news of revisions, VMs' records, and their thrift structs."""

from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.revision import VmRecord, VmRole
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode
from godwitshunt.settings import Address

UPDATE_FIELDS = ('revision', 'digest', 'base_digest', 'body', 'quorum_age_s')


def require_fields(message: object, *fields: str) -> None:
    """Check that fields of a message are set.

    Raises
    ------
    FrameError
        Where one is missing. A peer of another version may send such a
        message; it must cost its own call and no other.
    """
    for field in fields:
        if getattr(message, field) is None:
            raise FrameError(f'{type(message).__name__}: no {field}')


def decode_update(body: bytes) -> ttypes.ConfigurationNews:
    """Read news; raise FrameError where it is not whole."""
    update = decode(ttypes.ConfigurationNews, body)
    require_fields(update, *UPDATE_FIELDS)
    return update


def vm_to_wire(vm: VmRecord) -> ttypes.VmInfo:
    """Return a VM's record as a struct."""
    return ttypes.VmInfo(
        name=vm.name,
        region=vm.region,
        failure_domain=vm.failure_domain,
        role=vm.role.value,
        http=ttypes.Endpoint(vm.http.host, vm.http.port),
        peer=ttypes.Endpoint(vm.peer.host, vm.peer.port),
        session=vm.session,
    )


def vm_from_wire(info: ttypes.VmInfo) -> VmRecord:
    """Read a VM's record.

    Raises
    ------
    FrameError
        Where a field is missing or out of its range.
    """
    try:
        return VmRecord(
            name=info.name,
            region=info.region,
            failure_domain=info.failure_domain,
            role=VmRole(info.role),
            http=Address(host=info.http.host, port=info.http.port),
            peer=Address(host=info.peer.host, port=info.peer.port),
            session=info.session or '',
        )
    except (ValueError, AttributeError) as error:
        raise FrameError(f'VmInfo: {error!r}') from None
