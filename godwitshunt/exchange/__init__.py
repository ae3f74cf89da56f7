"""HTTP with callers and upstreams, and the life of a request.

The listener and the problem types are offered here to other slices. The pure
life of a request is `godwitshunt.exchange.lifecycle.advance`; an entry VM's
whole exchange is `godwitshunt.exchange.gateway.ExchangeTask`. Those two import
messages of other slices and stand apart, so that a slice which only listens
does not import them.
"""

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    json_answer,
    render_problem,
)
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest

__all__ = [
    'Listener',
    'ListenerOptions',
    'HttpRequest',
    'AnswerWriter',
    'WholeAnswer',
    'json_answer',
    'Outcome',
    'Problem',
    'ProblemKind',
    'render_problem',
]
