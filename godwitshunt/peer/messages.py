"""Message kinds, and the failures of peer calls."""

from dataclasses import dataclass
from enum import IntEnum


class MessageKind(IntEnum):
    """Kind of a message; selects the handler at the receiver."""

    ping = 1
    consensus = 100
    replica_join = 101
    configuration_fetch = 200
    configuration_news = 201
    configuration_applied = 202
    operator_call = 210
    vm_heartbeat = 300
    upstream_gossip = 301
    region_summary = 302
    upstream_fetch = 303
    registry_poll = 310
    place_ask = 311
    load_report = 312
    place_wait = 313
    upstream_notices = 314
    suspect_news = 315
    upstream_departure = 316
    claim_request = 400
    claim_finish = 401
    claim_release = 402
    claim_epoch = 403
    claim_query = 404
    claim_recovery = 405
    claim_running = 406
    limit_gossip = 500
    placement_report = 600


@dataclass(frozen=True)
class NotSent:
    """The call was not sent, so the peer cannot have acted on it."""

    peer: str
    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The call was sent but not answered; the peer may have acted on it."""

    peer: str
    reason: str


CallFailed = NotSent | OutcomeUnknown
