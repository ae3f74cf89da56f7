"""The ``godwitshunt`` program: what operators and their pipeline run."""

import time
from pathlib import Path
from typing import Any

import defopt

from godwitshunt.exceptions import DocumentError, SettingsError
from godwitshunt.manifest import manifest_digest
from godwitshunt.programs.operator_session import (
    ExitCode,
    Session,
    leave,
    parse_address,
    read_manifest,
    show,
)
from godwitshunt.programs.tracing import losses, stages, trace

WAIT_PERIOD_S = 0.5


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
    authority: Path | None = None,
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
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    :param wait: wait until the manifest is in force on every VM.
    :param timeout_s: seconds that --wait, or an acceptance that depends on
        VMs of a region that loses a caller, waits at most.
    """
    document = read_manifest(manifest).model_dump(mode='json')
    session = Session(control, token_file, authority)
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


def status(
    *,
    control: str,
    token_file: Path,
    authority: Path | None = None,
) -> None:
    """Print the revision in force on each VM and the state of the quorum.

    Names the VMs that lag or are silent, the voters and learners, and tells
    whether one more loss is survivable.

    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    show(Session(control, token_file, authority).require('GET', '/v1/status'))


def explain(
    *,
    caller: str,
    service: str,
    control: str,
    token_file: Path,
    model: str | None = None,
    authority: Path | None = None,
) -> None:
    """Print the regions that a caller's request may be served in, and why.

    :param caller: name of the caller in the manifest.
    :param service: name of the service in the manifest.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    :param model: name of the model; leave out for plain services.
    """
    asked = {'caller': caller, 'service': service, 'model': model}
    session = Session(control, token_file, authority)
    show(session.require('POST', '/v1/explain', asked))


def explain_route(
    *,
    host: str,
    path: str,
    control: str,
    token_file: Path,
    organisation: str | None = None,
    authority: Path | None = None,
) -> None:
    """Print which route a request has, and what holds for an organisation.

    :param host: host of the request, without port.
    :param path: its path.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param organisation: name of the organisation; leave out for a request
        without a key.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    asked = {'host': host, 'path': path, 'organisation': organisation}
    session = Session(control, token_file, authority)
    show(session.require('POST', '/v1/explain', asked))


def init(
    *,
    control: str,
    token_file: Path,
    authority: Path | None = None,
) -> None:
    """Make the cluster from control replicas with empty data folders, once.

    A replica with an empty folder never starts a cluster by itself: it may
    have lost its disk. Run this only for a new deployment.

    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    show(Session(control, token_file, authority).require('POST', '/v1/init'))


def replace(
    *,
    name: str,
    control: str,
    token_file: Path,
    address: str | None = None,
    authority: Path | None = None,
) -> None:
    """Put a control replica with an empty data folder in a lost one's place.

    Start the new replica first. It gets the whole log as a learner, becomes
    a voter once it has caught up, and only then is the lost one taken out.
    Running the command again after a lost answer is safe.

    :param name: name of the VM whose replica or disk was lost.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    :param address: peer address (HOST:PORT) of the new replica; leave out
        where it has the address of the lost one.
    """
    asked = {}
    if address is not None:
        asked['address'] = parse_address(address).model_dump()
    session = Session(control, token_file, authority)
    show(session.require('POST', f'/v1/replicas/{name}/replace', asked))


def quarantine(
    *,
    control: str,
    token_file: Path,
    authority: Path | None = None,
) -> None:
    """Tell which requests are not sent, since upstreams crashed under them.

    Prints each with its standing and its losses: the upstream, how long ago
    it ended, and how long it had had the request.

    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    session = Session(control, token_file, authority)
    show(session.require('GET', '/v1/quarantine'))


def release(
    *,
    fingerprint: str,
    control: str,
    token_file: Path,
    authority: Path | None = None,
) -> None:
    """Let a quarantined request be sent again.

    For one whose upstreams were mended. It is sent from now on, on every VM
    within a second or two; three more upstreams that end under it begin the
    quarantine anew.

    :param fingerprint: as ``quarantine`` and log lines name the request.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    asked = {'fingerprint': fingerprint}
    session = Session(control, token_file, authority)
    show(session.require('POST', '/v1/quarantine/release', asked))


def order(
    *,
    name: str,
    upstream: str,
    action: str,
    control: str,
    token_file: Path,
    weight_units: int = 0,
    authority: Path | None = None,
) -> None:
    """Order an upstream to load something or to change its role.

    The order gets a fencing number, is committed, and is then sent by the
    leader as soon as that is safe. The same name is never issued twice:
    running the command again prints the first answer.

    :param name: a name for this order, chosen by you.
    :param upstream: the upstream's name.
    :param action: what it is to do: load-model=NAME, load-adapter=NAME,
        load-version=VERSION or change-role=ROLE.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    :param weight_units: units that it takes from the weight store.
    """
    verb, _, subject = action.partition('=')
    asked = {
        'order': name,
        'upstream': upstream,
        'action': verb,
        'subject': subject,
        'weight_units': weight_units,
    }
    show(
        Session(control, token_file, authority).require(
            'POST', '/v1/orders', asked
        )
    )


def remove_vm(
    *,
    name: str,
    control: str,
    token_file: Path,
    authority: Path | None = None,
) -> None:
    """Take out a VM that has stopped for good.

    An acceptance that takes a region away from a caller no longer waits for
    it. Run this only where the VM is off and will not come back with its
    old data folder.

    :param name: the VM's name.
    :param control: HTTP addresses of the control replicas,
        HOST:PORT[,HOST:PORT...]; any one of them is enough.
    :param token_file: file with the operator's token.
    :param authority: certificate file of the authority that signed the
        control replicas' certificates; leave out where they talk plain HTTP.
    """
    session = Session(control, token_file, authority)
    show(session.require('POST', f'/v1/vms/{name}/remove'))


def main() -> None:
    """Run the command line."""
    commands = [
        check,
        apply,
        status,
        explain,
        explain_route,
        init,
        replace,
        order,
        quarantine,
        release,
        remove_vm,
        trace,
        losses,
        stages,
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
