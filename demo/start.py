"""Starting a whole deployment, in the order that an operator would."""

import subprocess
import sys

from demo.layout import Layout
from demo.processes import Processes


def start_deployment(layout: Layout, processes: Processes) -> None:
    """Start control, the cluster, the manifest, then all other processes.

    Raises
    ------
    NotReadyError
        Where a process is not ready in time.
    """
    processes.start_kind('control')
    for member in layout.of_kind('control'):
        processes.wait_ready(member, '/healthz')
    operate(layout, 'init')
    operate(layout, 'apply', '--manifest', str(layout.manifest_path))
    for kind in ('entry', 'engine', 'service'):
        processes.start_kind(kind)
    for member in layout.of_kind('entry'):
        processes.wait_ready(member)


def operate(layout: Layout, command: str, *options: str) -> None:
    """Run the operator's command line against the control VMs."""
    control = [member.address for member in layout.of_kind('control')]
    subprocess.run(
        [
            sys.executable,
            '-m',
            'godwitshunt.programs.operator',
            command,
            *options,
            '--control',
            ','.join(control),
            '--token-file',
            str(layout.token_path),
        ],
        check=True,
    )
