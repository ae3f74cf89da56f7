"""Calls of the ``godwitshunt`` program, and the exit codes they lead to."""

import asyncio
import json
import ssl
import sys
from enum import IntEnum
from pathlib import Path
from types import MappingProxyType
from typing import Any

from result import Err

from godwitshunt.configuration.http_calls import HttpCall
from godwitshunt.configuration.operator_client import (
    OperatorReply,
    OutcomeLost,
    call_any,
)
from godwitshunt.exceptions import FieldProblem, SettingsError
from godwitshunt.manifest import Manifest
from godwitshunt.manifest.documents import read_settings
from godwitshunt.settings import Address

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

    def __init__(
        self,
        control: str,
        token_file: Path,
        authority: Path | None,
    ) -> None:
        self.control = tuple(parse_address(text) for text in control.split(','))
        self.token = read_token(token_file)
        self.tls = read_authority(authority)

    def call(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
    ) -> OperatorReply:
        """Make a call; leave the program where no replica could act."""
        body = b'' if document is None else json.dumps(document).encode()
        call = HttpCall(method, path, body, timeout_s=CALL_TIMEOUT_S)
        reply = asyncio.run(call_any(self.control, call, self.token, self.tls))
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


def read_authority(path: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context that trusts an authority; None for plain TCP."""
    if path is None:
        return None
    try:
        return ssl.create_default_context(cafile=path)
    except OSError as failed:
        problem = FieldProblem('authority', repr(str(path)), str(failed))
        raise SettingsError('command line', (problem,)) from None


def read_manifest(path: Path) -> Manifest:
    """Read and check a manifest file."""
    return read_settings(path, Manifest)


def show(document: dict[str, Any]) -> None:
    """Print an answer as JSON."""
    print(json.dumps(document, indent=2))
