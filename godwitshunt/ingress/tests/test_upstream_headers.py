"""What an entry VM learns from the heads of answers."""

from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import (
    BrittleTable,
    DepartureTable,
    PauseTable,
    RateLimitTable,
)
from godwitshunt.exchange.upstream_messages import AnswerHead
from godwitshunt.ingress import HeaderNames
from godwitshunt.ingress.upstream_headers import AnswerHeaderReader
from godwitshunt.telemetry import Metrics

NAMES = HeaderNames()
NOW_S = 10.0
UPSTREAM = SimpleNamespace(incarnation='i-1', service='llm')


def reader() -> AnswerHeaderReader:
    """Return a reader at a fixed time."""
    timer = SimpleNamespace(now=lambda: NOW_S)
    return AnswerHeaderReader(
        NAMES,
        RateLimitTable(),
        RateLimitTable(),
        PauseTable(),
        DepartureTable(),
        BrittleTable(),
        BrittleTable(),
        lambda: None,
        timer,
        Metrics(),
    )


def head(limit: bytes | None) -> AnswerHead:
    """Return the head of an answer that states a limit, or none."""
    headers = () if limit is None else ((NAMES.rate_limit, limit),)
    return AnswerHead(200, headers)


def test_stated_limit_holds_until_an_answer_without_it():
    """A limit that is kept after the upstream has recovered."""
    answers = reader()
    answers.read(UPSTREAM, 'r-1', head(b'2.5'), sent_s=9.0)
    assert answers.rate_limits.per_s('i-1') == pytest.approx(2.5)
    answers.read(UPSTREAM, 'r-2', head(None), sent_s=NOW_S + 1)
    assert answers.rate_limits.per_s('i-1') is None


@pytest.mark.parametrize('text', [b'many', b'-1', b'+1', b'nan', b'1e999'])
def test_invalid_limit_changes_nothing(text):
    """A value that stops an upstream's traffic, or ends a limit in force."""
    answers = reader()
    answers.read(UPSTREAM, 'r-1', head(text), sent_s=9.0)
    assert answers.rate_limits.per_s('i-1') is None
    answers.read(UPSTREAM, 'r-2', head(b'3'), sent_s=9.0)
    answers.read(UPSTREAM, 'r-3', head(text), sent_s=NOW_S + 1)
    assert answers.rate_limits.per_s('i-1') == pytest.approx(3)


@pytest.mark.parametrize(
    ('status', 'text', 'remaining_s'),
    [
        (503, b'3', 3.0),
        (503, b'0.25', 0.25),
        (503, b'soon', 0.0),
        (503, b'-3', 0.0),
        (503, b'+3', 0.0),
        (503, b'nan', 0.0),
        (503, b'1e999', 0.0),
        (503, b'Fri, 31 Dec 1999 23:59:59 GMT', 0.0),
        (200, b'3', 0.0),
        (429, b'3', 0.0),
    ],
)
def test_pause_is_read_from_refusals(status, text, remaining_s):
    """A pause that no refusal asked for, or one that never ends."""
    answers = reader()
    refusal = AnswerHead(status, ((b'retry-after', text),))
    answers.read(UPSTREAM, 'r-1', refusal, sent_s=9.0)
    assert answers.pauses.remaining_s('i-1', NOW_S) == pytest.approx(
        remaining_s
    )


def test_service_is_brittle_until_an_answer_does_not_state_it():
    """An upstream that fell over comes back as another incarnation."""
    answers = reader()
    brittle = AnswerHead(503, ((NAMES.brittle, b'3'),))
    answers.read(UPSTREAM, 'r-1', brittle, sent_s=9.0)
    for table in (answers.brittle, answers.observed_brittle):
        assert table.rejections_per_s('llm') == pytest.approx(3)
    earlier = AnswerHead(200, ())
    answers.read(UPSTREAM, 'r-2', earlier, sent_s=NOW_S - 1)
    assert answers.brittle.is_brittle('llm')
    answers.read(UPSTREAM, 'r-3', earlier, sent_s=NOW_S + 1)
    assert not answers.brittle.is_brittle('llm')
