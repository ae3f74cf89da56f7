"""Every program tells a stranger how to use it, and names what is missing."""

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
        'replay', 'generate', 'statika', str(tmp_path), '--duration', '5'
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
