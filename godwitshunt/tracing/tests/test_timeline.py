"""Timelines and summaries of single requests."""

import json

import pytest

from godwitshunt.tracing import LogLine, build_timeline, read_logs

REQUEST_ID = '9c41d07be2a35f68'


def make_ended_line(source='near', at_s=100.0, **fields):
    """Return the log line of a request that ended."""
    line_fields = {
        'request': REQUEST_ID,
        'handed_over': False,
        'ending': 'answered 200',
        'took_s': 0.4,
        'choices': [],
        'attempts': [],
        'reasons': [],
        **fields,
    }
    return LogLine(source, 'ingress:request_ended', at_s, line_fields)


def make_context_line(kind, source='near', at_s=99.0):
    """Return the log line of a state change without fields."""
    return LogLine(source, kind, at_s, {})


@pytest.mark.parametrize(
    ('fields', 'summary'),
    [
        (
            {
                'ending': 'refused overloaded not-run',
                'choices': ['overloaded of i-3@tvm=1.776s/1.8/20 i-6@tvm=1.8s'],
            },
            'near tried nothing; refused, not run: no room in time, at best '
            'i-3@tvm=1.776s/1.8/20 after 0.4 s.',
        ),
        (
            {
                'ending': 'refused deadline unknown',
                'choices': ['kochi/k-1 of i-9@kochi=0.1s/0.1/2'],
            },
            'near tried kochi/k-1 (under way); time ran out with an attempt '
            'under way to kochi/k-1 after 0.4 s.',
        ),
        (
            {
                'ending': 'caller gone',
                'choices': ['tvm/t-1 of i-9@tvm=0.1s/0.1/2'],
            },
            'near tried tvm/t-1 (under way); the caller left after 0.4 s.',
        ),
        (
            {
                'ending': 'streamed',
                'choices': ['i-1 of i-1@a=0.1s', 'i-2 of i-2@a=0.2s'],
                'attempts': ['i-1:Lost', 'i-2:Streamed'],
                'reasons': ['silent within a stream'],
            },
            'near tried i-1 (Lost), then i-2 (Streamed); streamed (silent '
            'within a stream) after 0.4 s.',
        ),
        (
            {
                'ending': 'refused no-upstream not-run',
                'choices': ['i-1 of i-1@a=0.1s', 'no upstream of none'],
                'attempts': ['i-1:NotRun'],
                'reasons': ['connect: TimeoutError()'],
            },
            'near tried i-1 (NotRun); refused, not run: no upstream left of '
            'none (connect: TimeoutError()) after 0.4 s.',
        ),
    ],
)
def test_summary(fields, summary):
    """The summary lists the attempts and the reason of the outcome."""
    assert (
        build_timeline(REQUEST_ID, [make_ended_line(**fields)]).summary
        == summary
    )


def test_receiving_vm_is_listed_first():
    """The VM that the request was forwarded to wrote its line earlier."""
    near = make_ended_line('near', 100.2, choices=['b/far of i-1@b=0.1s'])
    far = make_ended_line('far', 100.1, handed_over=True)
    timeline = build_timeline(REQUEST_ID, [far, near])
    assert [line.source for line in timeline.lines] == ['near', 'far']


def test_context_has_recent_changes_of_the_same_processes():
    """Lines about a network partition have no request id."""
    lines = [
        make_ended_line(at_s=100.0),
        make_context_line('registry:control_lost', at_s=98.0),
        make_context_line('registry:control_lost', at_s=60.0),
        make_context_line('registry:control_lost', source='other'),
        make_context_line('ingress:started'),
    ]
    timeline = build_timeline(REQUEST_ID, lines)
    assert [line.at_s for line in timeline.context] == [98.0]


def test_unknown_request_has_no_timeline():
    """The id is wrong, or the line of the request was dropped by sampling."""
    assert build_timeline('other', [make_ended_line()]) is None


def test_prefixes_and_malformed_lines_are_skipped(tmp_path):
    """Log collectors add times and names; crashes leave truncated lines."""
    fields = make_ended_line().fields | {
        'message_type': 'ingress:request_ended',
        'timestamp': 7.0,
    }
    mixed = tmp_path / 'all.log'
    mixed.write_text(f'1.5 near {json.dumps(fields)}\n{{"torn": \nTraceback\n')
    single = tmp_path / 'far.log'
    single.write_text(json.dumps({**fields, 'handed_over': True}))
    timeline = build_timeline(REQUEST_ID, read_logs([mixed, single]))
    assert [line.source for line in timeline.lines] == ['near', 'far']


def test_context_has_stray_bytes_of_the_request():
    """A caller's wrong answer that no line of its request explains."""
    kind = 'exchange:stray_bytes'
    lines = [
        make_ended_line(),
        LogLine('near', kind, 100.0, {'request': REQUEST_ID, 'named': 'r-1'}),
        LogLine('near', kind, 120.0, {'request': 'r-2', 'named': REQUEST_ID}),
        LogLine('near', kind, 99.0, {'request': 'r-2', 'named': 'r-1'}),
    ]
    timeline = build_timeline(REQUEST_ID, lines)
    assert [line.at_s for line in timeline.context] == [100.0, 120.0]
