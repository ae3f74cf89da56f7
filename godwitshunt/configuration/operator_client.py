"""Operators' calls to whichever control replica answers."""

import json
import ssl
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

from godwitshunt.configuration.http_calls import (
    AnswerLost,
    HttpCall,
    call_http,
)
from godwitshunt.settings import Address

UNAVAILABLE = 503
MANIFEST_TIMEOUT_S = 15.0


@dataclass(frozen=True)
class OperatorReply:
    """The answer of a replica that could act."""

    status: int
    document: dict[str, Any]


@dataclass(frozen=True)
class Unreachable:
    """No replica acted; nothing was changed."""

    reasons: tuple[str, ...]


@dataclass(frozen=True)
class OutcomeLost:
    """A replica may have acted and its answer was lost.

    Sending the same call again is safe and tells what became of it.
    """

    reasons: tuple[str, ...]


OperatorFailure = Unreachable | OutcomeLost


async def call_any(
    addresses: tuple[Address, ...],
    call: HttpCall,
    token: str,
    tls: ssl.SSLContext | None = None,
) -> Result[OperatorReply, OperatorFailure]:
    """Ask each control replica until one can act.

    Every call that changes something is safe to repeat, so after a lost
    answer the next replica is asked; it gives the first answer again.
    """
    headers = (('authorization', f'Bearer {token}'), *call.headers)
    call = replace(call, headers=headers)
    reasons = []
    is_lost = False
    for address in addresses:
        match await call_http(address, call, tls=tls):
            case Ok(answer) if answer.status != UNAVAILABLE:
                return Ok(
                    OperatorReply(answer.status, read_document(answer.body))
                )
            case Ok(answer):
                reasons.append(f'{address}: {detail_of(answer.body)}')
            case Err(failure):
                is_lost = is_lost or isinstance(failure, AnswerLost)
                reasons.append(f'{failure.address}: {failure.reason}')
    failures = tuple(reasons)
    return Err(OutcomeLost(failures) if is_lost else Unreachable(failures))


def read_document(body: bytes) -> dict[str, Any]:
    """Return the JSON document of an answer; empty where it is none."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def detail_of(body: bytes) -> str:
    """Return the detail of a problem document."""
    return str(read_document(body).get('detail', 'not available'))
