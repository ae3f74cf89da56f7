"""The ``godwitshunt`` program: what operators and their pipeline run."""

import asyncio
import json
import sys
import time
from enum import IntEnum
from pathlib import Path
from types import MappingProxyType
from typing import Any

import defopt
from result import Err

from godwitshunt.configuration.http_calls import HttpCall
from godwitshunt.configuration.operator_client import (
    OperatorReply,
    OutcomeLost,
    call_any,
)
from godwitshunt.exceptions import DocumentError, FieldProblem, SettingsError
from godwitshunt.manifest import Manifest, manifest_digest
from godwitshunt.manifest.documents import read_settings
from godwitshunt.settings import Address

WAIT_PERIOD_S = 0.5
CALL_TIMEOUT_S = 15.0


class ExitCode(IntEnum):
    """What the exit code of a command means."""

    done = 0
    wrong_usage = 2
    invalid = 10
    conflict = 11
    unreachable = 12
    outcome_unknown = 13
    not_in_force = 14
    refused = 15


EXIT_BY_STATUS = MappingProxyType(
    {
        400: ExitCode.invalid,
        409: ExitCode.conflict,
        410: ExitCode.conflict,
        504: ExitCode.outcome_unknown,
    },
)


class Session:
    """Calls to the control replicas with the operator's token."""

    def __init__(self, control: str, token_file: Path) -> None:
        self.control = tuple(parse_address(text) for text in control.split(','))
        self.token = read_token(token_file)

    def call(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
    ) -> OperatorReply:
        """Make a call; leave the program where no replica could act."""
        body = b'' if document is None else json.dumps(document).encode()
        call = HttpCall(method, path, body, timeout_s=CALL_TIMEOUT_S)
        reply = asyncio.run(call_any(self.control, call, self.token))
        if isinstance(reply, Err):
            reasons = '; '.join(reply.err_value.reasons)
            if isinstance(reply.err_value, OutcomeLost):
                leave(
                    ExitCode.outcome_unknown,
                    f'outcome unknown ({reasons}); run the command again',
                )
            leave(ExitCode.unreachable, f'no replica could act: {reasons}')
        return reply.ok_value

    def require(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Make a call that must succeed; return its document."""
        reply = self.call(method, path, document)
        if reply.status >= 400:
            leave_refused(reply)
        return reply.document


def leave(code: ExitCode, message: str) -> None:
    """Print a message for the operator and exit."""
    print(message, file=sys.stderr)
    sys.exit(code)


def leave_refused(reply: OperatorReply) -> None:
    """Print a refusal and exit with the code of its kind."""
    code = EXIT_BY_STATUS.get(reply.status, ExitCode.refused)
    problem = reply.document.get('type', f'status {reply.status}')
    leave(code, f'{problem}: {reply.document.get("detail", "")}')


def parse_address(text: str) -> Address:
    """Read ``host:port``."""
    host, _, port = text.rpartition(':')
    try:
        return Address(host=host, port=int(port))
    except ValueError:
        problem = FieldProblem('control', repr(text), 'HOST:PORT')
        raise SettingsError('command line', (problem,)) from None


def read_token(path: Path) -> str:
    """Read the operator's token from its file."""
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as failed:
        problem = FieldProblem('token-file', repr(str(path)), str(failed))
        raise SettingsError('command line', (problem,)) from None


def read_manifest(path: Path) -> Manifest:
    """Read and check a manifest file."""
    return read_settings(path, Manifest)


def show(document: dict[str, Any]) -> None:
    """Print an answer as JSON."""
    print(json.dumps(document, indent=2))


def check(*, manifest: Path) -> None:
    """Check a manifest file without sending it.

    Prints its number and digest, or every wrong field with what was found
    and what was expected. Exit code 0 for a valid manifest, 10 for another.

    :param manifest: JSON file with the manifest.
    """
    valid = read_manifest(manifest)
    show({'number': valid.number, 'digest': manifest_digest(valid)})


def apply(
    *,
    manifest: Path,
    control: str,
    token_file: Path,
    wait: bool = False,
    timeout_s: float = 60.0,
) -> None:
    """Send a manifest and print what became of it.

    Returns once the manifest is committed on a majority of the control
    replicas. Sending the same manifest again is safe at any time and prints
    the first answer. Exit codes: 0 accepted (now or before), 10 invalid,
    11 another manifest has this number or a higher one, 12 no control
    replica could act, 13 outcome unknown (send it again), 14 accepted but
    not in force everywhere in time, 15 refused.

    :param manifest: JSON file with the manifest.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param wait: wait until the manifest is in force on every VM.
    :param timeout_s: seconds that --wait, or an acceptance that depends on
        VMs of a region that loses a caller, waits at most.
    """
    document = read_manifest(manifest).model_dump(mode='json')
    session = Session(control, token_file)
    deadline = time.monotonic() + timeout_s
    outcome = session.require('POST', '/v1/manifest', document)
    while outcome['outcome'] == 'pending' and time.monotonic() < deadline:
        time.sleep(WAIT_PERIOD_S)
        outcome = session.require('POST', '/v1/manifest', document)
    if outcome['outcome'] == 'pending':
        show(outcome)
        names = ', '.join(outcome['waits_for'])
        leave(ExitCode.not_in_force, f'not accepted yet, waits for: {names}')
    behind = wait_in_force(session, outcome, deadline) if wait else []
    show({**outcome, 'not_in_force': behind} if wait else outcome)
    if behind:
        leave(ExitCode.not_in_force, f'not in force on: {", ".join(behind)}')


def wait_in_force(
    session: Session,
    outcome: dict[str, Any],
    deadline: float,
) -> list[str]:
    """Return the VMs where a revision is not in force at the deadline."""
    while True:
        status = session.require('GET', '/v1/status')
        behind = [
            name
            for name, vm in status['vms'].items()
            if vm['revision'] < outcome['revision']
        ]
        if not behind or time.monotonic() >= deadline:
            return behind
        time.sleep(WAIT_PERIOD_S)


def status(*, control: str, token_file: Path) -> None:
    """Print the revision in force on each VM and the state of the quorum.

    Names the VMs that lag or are silent, the voters and learners, and tells
    whether one more loss is survivable.

    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    """
    show(Session(control, token_file).require('GET', '/v1/status'))


def explain(
    *,
    caller: str,
    service: str,
    control: str,
    token_file: Path,
    model: str | None = None,
) -> None:
    """Print the regions that a caller's request may be served in, and why.

    :param caller: name of the caller in the manifest.
    :param service: name of the service in the manifest.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param model: name of the model; leave out for plain services.
    """
    asked = {'caller': caller, 'service': service, 'model': model}
    session = Session(control, token_file)
    show(session.require('POST', '/v1/explain', asked))


def init(*, control: str, token_file: Path) -> None:
    """Make the cluster from control replicas with empty data folders, once.

    A replica with an empty folder never starts a cluster by itself: it may
    have lost its disk. Run this only for a new deployment.

    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    """
    show(Session(control, token_file).require('POST', '/v1/init'))


def replace(
    *,
    name: str,
    control: str,
    token_file: Path,
    address: str | None = None,
) -> None:
    """Put a control replica with an empty data folder in a lost one's place.

    Start the new replica first. It gets the whole log as a learner, becomes
    a voter once it has caught up, and only then is the lost one taken out.
    Running the command again after a lost answer is safe.

    :param name: name of the VM whose replica or disk was lost.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param address: peer address (HOST:PORT) of the new replica; leave out
        where it has the address of the lost one.
    """
    asked = {}
    if address is not None:
        asked['address'] = parse_address(address).model_dump()
    session = Session(control, token_file)
    show(session.require('POST', f'/v1/replicas/{name}/replace', asked))


def order(
    *,
    name: str,
    upstream: str,
    action: str,
    subject: str,
    control: str,
    token_file: Path,
    weight_units: int = 0,
) -> None:
    """Order an upstream to load something or to change its role.

    The order gets a fencing number, is committed, and is then sent by the
    leader as soon as that is safe. The same name is never issued twice:
    running the command again prints the first answer.

    :param name: a name for this order, chosen by you.
    :param upstream: the upstream's name.
    :param action: load-model, load-adapter, load-version or change-role.
    :param subject: the model, adapter or version to load, or the role.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param weight_units: units that it takes from the weight store.
    """
    asked = {
        'order': name,
        'upstream': upstream,
        'action': action,
        'subject': subject,
        'weight_units': weight_units,
    }
    show(Session(control, token_file).require('POST', '/v1/orders', asked))


def remove_vm(
    *,
    name: str,
    control: str,
    token_file: Path,
) -> None:
    """Take out a VM that has stopped for good.

    An acceptance that takes a region away from a caller no longer waits for
    it. Run this only where the VM is off and will not come back with its
    old data folder.

    :param name: the VM's name.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    """
    session = Session(control, token_file)
    show(session.require('POST', f'/v1/vms/{name}/remove'))


def main() -> None:
    """Run the command line."""
    commands = [
        check,
        apply,
        status,
        explain,
        init,
        replace,
        order,
        remove_vm,
    ]
    try:
        defopt.run(commands, short={})
    except SettingsError as wrong:
        code = ExitCode.invalid
        if wrong.source == 'command line':
            code = ExitCode.wrong_usage
        leave(code, str(wrong))
    except DocumentError as wrong:
        leave(ExitCode.invalid, str(wrong))


if __name__ == '__main__':
    main()
