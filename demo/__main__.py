"""Run the demonstration: a deployment, a manifest, and a caller's requests."""

import sys
import tempfile
from pathlib import Path

import defopt

from demo.caller import STREAM_END, Answer, DemoCaller
from demo.layout import REGIONS, Layout
from demo.processes import Processes, stop_kept
from demo.start import operate, start_deployment

PROMPT = 'Which beams of the east wing need another look?'
SUCCESS = 200


def run(*, keep: Path | None = None, stop: Path | None = None) -> int:
    """Start three regions on loopback addresses and send requests.

    Parameters
    ----------
    keep
        Leave everything running; write addresses.json and manifest.json there.
    stop
        End a deployment that an earlier --keep left running, and do no more.

    Returns
    -------
    int
        0 only if every answer was whole.
    """
    if stop is not None:
        print(f'{stop_kept(stop)} processes told to end')
        return 0
    if keep is not None:
        return run_in(keep, leave_running=True)
    with tempfile.TemporaryDirectory(prefix='godwitshunt-demo-') as folder:
        return run_in(Path(folder), leave_running=False)


def run_in(folder: Path, *, leave_running: bool) -> int:
    """Run the demonstration with its files in a folder."""
    layout = Layout.from_config(folder.resolve(), REGIONS)
    layout.write()
    processes = Processes(layout)
    failed = True
    try:
        start_deployment(layout, processes)
        operate(layout, 'status')
        failed = not all(check_answers(layout))
    finally:
        if failed or not leave_running:
            for name in processes.stop():
                print(f'{name} did not end by itself')
    if leave_running and not failed:
        print(f'left running: {processes.write_addresses()}')
    return int(failed)


def check_answers(layout: Layout) -> list[bool]:
    """Send every kind of request from a caller of each region."""
    outcomes = []
    for entry in layout.of_kind('entry')[::2]:
        caller = DemoCaller.from_directory('site-office', entry.address)
        outcomes += check_caller(caller, entry.region)
    bound = layout.of_kind('entry', 'split')[0]
    caller = DemoCaller.from_directory('zagreb-records', bound.address)
    answer = caller.chat(PROMPT, stream=False)
    served_home = answer.headers.get('godwitshunt-region') == 'zagreb'
    outcomes.append(
        report('bound to zagreb, asked in split', answer, whole=served_home),
    )
    return outcomes


def check_caller(caller: DemoCaller, region: str) -> list[bool]:
    """Send one request of each kind and check that each answer is whole."""
    unary = caller.chat(PROMPT, stream=False)
    streamed = caller.chat(PROMPT, stream=True)
    looked_up = caller.look_up('certificates/17')
    key = caller.new_key()
    filed = caller.file('certificates', b'{"beam": 4}', key)
    resent = caller.file('certificates', b'{"beam": 4}', key)
    text_agrees = unary.status == SUCCESS and unary.text == streamed.text
    stream_ended = streamed.body.rstrip().endswith(STREAM_END)
    return [
        report(f'{region}: chat', unary, whole=text_agrees),
        report(f'{region}: chat stream', streamed, whole=stream_ended),
        report(f'{region}: look-up', looked_up),
        report(f'{region}: filed once', filed),
        report(f'{region}: resent', resent, whole=resent.body == filed.body),
    ]


def report(what: str, answer: Answer, *, whole: bool = True) -> bool:
    """Print an answer with who served it; tell whether it was whole."""
    passed = whole and answer.status == SUCCESS
    verdict = 'whole' if passed else 'NOT WHOLE'
    print(f'{what}: {answer.status} {verdict}; {answer.served_by}')
    print(f'    {answer.body[:120]!r}')
    return passed


if __name__ == '__main__':
    sys.exit(defopt.run(run))
