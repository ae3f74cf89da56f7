"""Connections between godwitshunt processes: framing, handshake, calls."""

from godwitshunt.peer.codec import decode, encode
from godwitshunt.peer.link import PeerOptions
from godwitshunt.peer.links import PeerLinks
from godwitshunt.peer.messages import (
    CallFailed,
    MessageKind,
    NotSent,
    OutcomeUnknown,
)
from godwitshunt.peer.tls import client_context, server_context

__all__ = [
    'CallFailed',
    'MessageKind',
    'NotSent',
    'OutcomeUnknown',
    'PeerLinks',
    'PeerOptions',
    'client_context',
    'decode',
    'encode',
    'server_context',
]
