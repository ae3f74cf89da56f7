"""From a request's id to a sentence on its cause."""

import json

import pytest

from godwitshunt.tracing import LogLine, build_timeline, read_logs

ID = '9c41d07be2a35f68'


def ended(source='near', at_s=100.0, **fields):
    """Return the line of a request that ended."""
    told = {
        'request': ID,
        'handed_over': False,
        'ending': 'answered 200',
        'took_s': 0.4,
        'choices': [],
        'attempts': [],
        'reasons': [],
        **fields,
    }
    return LogLine(source, 'ingress:request_ended', at_s, told)


def context(kind, source='near', at_s=99.0):
    """Return a line of what a process came to believe."""
    return LogLine(source, kind, at_s, {})


@pytest.mark.parametrize(
    ('fields', 'sentence'),
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
def test_a_request_is_explained_in_a_sentence(fields, sentence):
    """Someone on call has an id, and wants to know why it ended so."""
    assert build_timeline(ID, [ended(**fields)]).summary == sentence


def test_the_vm_that_took_the_request_comes_first():
    """The VM that it was handed over to wrote its line earlier."""
    near = ended('near', 100.2, choices=['b/far of i-1@b=0.1s'])
    far = ended('far', 100.1, handed_over=True)
    timeline = build_timeline(ID, [far, near])
    assert [line.source for line in timeline.lines] == ['near', 'far']


def test_what_the_same_processes_believed_then_is_shown():
    """A partition is told by lines that name no request."""
    lines = [
        ended(at_s=100.0),
        context('registry:control_lost', at_s=98.0),
        context('registry:control_lost', at_s=60.0),
        context('registry:control_lost', source='other'),
        context('ingress:started'),
    ]
    timeline = build_timeline(ID, lines)
    assert [line.at_s for line in timeline.context] == [98.0]


def test_an_unknown_request_has_no_story():
    """The id was mistyped, or its line was sampled out."""
    assert build_timeline('other', [ended()]) is None


def test_logs_are_read_whatever_stands_before_their_lines(tmp_path):
    """Collectors put times and names there; crashes leave torn lines."""
    line = ended().fields | {
        'message_type': 'ingress:request_ended',
        'timestamp': 7.0,
    }
    mixed = tmp_path / 'all.log'
    mixed.write_text(f'1.5 near {json.dumps(line)}\n{{"torn": \nTraceback\n')
    own = tmp_path / 'far.log'
    own.write_text(json.dumps({**line, 'handed_over': True}))
    timeline = build_timeline(ID, read_logs([mixed, own]))
    assert [one.source for one in timeline.lines] == ['near', 'far']
