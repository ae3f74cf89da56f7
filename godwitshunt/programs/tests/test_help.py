"""Every program tells a stranger how to use it, and names what is missing."""

import json
import subprocess
import sys

import pytest

PROGRAMS = ('operator', 'entry', 'control', 'replay')


def run(program: str, *arguments: str) -> subprocess.CompletedProcess:
    """Run a program to its end."""
    return subprocess.run(
        [sys.executable, '-m', f'godwitshunt.programs.{program}', *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    'arguments',
    [(program, '--help') for program in PROGRAMS]
    + [
        ('operator', 'apply', '--help'),
        ('operator', 'trace', '--help'),
        ('operator', 'losses', '--help'),
        ('replay', 'run', '--help'),
        ('replay', 'generate', '--help'),
    ],
)
def test_help_is_printed(arguments):
    """A stranger types --help; a traceback would tell them nothing."""
    ended = run(*arguments)
    assert ended.returncode == 0, ended.stderr
    assert 'usage' in ended.stdout


def test_replay_writes_a_trace_from_the_command_line(tmp_path):
    """An operator generates a trace before trying a change of the manifest."""
    ended = run(
        'replay', 'generate', 'long-reviews', str(tmp_path), '--duration', '5'
    )
    assert ended.returncode == 0, ended.stderr
    assert (tmp_path / 'trace.jsonl').stat().st_size > 0


@pytest.mark.parametrize('program', ['entry', 'control'])
def test_missing_fields_are_named_as_missing(program, tmp_path):
    """A settings file lacks a field; the process says which and stops."""
    path = tmp_path / 'settings.json'
    path.write_text('{"name": "zagreb-1"}')
    ended = run(program, str(path))
    assert ended.returncode == 2
    assert f'{path}: region: found nothing, expected a value' in ended.stderr


def test_losses_are_told_from_the_command_line(tmp_path):
    """Many requests went wrong, and an engineer has the logs."""
    lines = [
        {'ending': 'refused overloaded not-run', 'request': f'r-{number}'}
        for number in range(3)
    ]
    log = tmp_path / 'entry.log'
    log.write_text(
        '\n'.join(
            json.dumps({'message_type': 'ingress:request_ended', **line})
            for line in lines
        ),
    )
    ended = run('operator', 'losses', str(log))
    assert ended.returncode == 0, ended.stderr
    assert ended.stdout.split()[:2] == ['3', 'refused']
    assert 'such as r-0' in ended.stdout
    missing = run('operator', 'losses', str(tmp_path / 'none.log'))
    assert missing.returncode == 2
    assert 'none.log' in missing.stderr
