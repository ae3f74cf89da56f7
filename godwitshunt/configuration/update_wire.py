"""Conversion of configuration updates and VM records from and to thrift."""

from godwitshunt.configuration.gen.wire import ttypes
from godwitshunt.configuration.revision import VmRecord, VmRole
from godwitshunt.exceptions import FrameError
from godwitshunt.peer import decode
from godwitshunt.settings import Address

UPDATE_FIELDS = ('revision', 'digest', 'base_digest', 'body', 'quorum_age_s')


def require_fields(message: object, *fields: str) -> None:
    """Check that the given fields of a message are set.

    Raises
    ------
    FrameError
        If a field is missing. A peer of another version may send such a
        message; only the call that it belongs to may fail.
    """
    for field in fields:
        if getattr(message, field) is None:
            raise FrameError(f'{type(message).__name__}: no {field}')


def decode_update(body: bytes) -> ttypes.ConfigurationNews:
    """Decode an update; raise FrameError if a field is missing."""
    update = decode(ttypes.ConfigurationNews, body)
    require_fields(update, *UPDATE_FIELDS)
    return update


def vm_to_wire(vm: VmRecord) -> ttypes.VmInfo:
    """Return the thrift struct of a VM record."""
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
    """Return the VM record of a thrift struct.

    Raises
    ------
    FrameError
        If a field is missing or out of range.
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
