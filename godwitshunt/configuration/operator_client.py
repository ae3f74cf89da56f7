"""Client for the operator API that tries each control replica."""

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
    """Answer of a replica that processed the call."""

    status: int
    document: dict[str, Any]


@dataclass(frozen=True)
class Unreachable:
    """No replica processed the call; nothing was changed."""

    reasons: tuple[str, ...]


@dataclass(frozen=True)
class OutcomeLost:
    """A replica may have processed the call, but its answer was lost.

    The same call can be sent again safely and returns its outcome.
    """

    reasons: tuple[str, ...]


OperatorFailure = Unreachable | OutcomeLost


async def call_any(
    addresses: tuple[Address, ...],
    call: HttpCall,
    token: str,
    tls: ssl.SSLContext | None = None,
) -> Result[OperatorReply, OperatorFailure]:
    """Try the control replicas in turn until one processes the call.

    Every call that makes a change is idempotent, so after a lost answer the
    next replica is tried; it returns the first answer again.
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
    """Return the JSON object of an answer, empty if it is not one."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def detail_of(body: bytes) -> str:
    """Return the detail of a problem document."""
    return str(read_document(body).get('detail', 'not available'))
