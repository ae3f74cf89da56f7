"""An entry process that is profiled between SIGUSR1 and SIGUSR2.

Started by `benchmarks.entry_cost`; ``GODWITSHUNT_PROFILE`` names the result.
"""

import cProfile
import os
import runpy
import signal
import sys
from types import FrameType

profiler = cProfile.Profile()


def begin(number: int, frame: FrameType | None) -> None:
    """Begin to profile."""
    profiler.enable()


def end(number: int, frame: FrameType | None) -> None:
    """Write the profile."""
    profiler.disable()
    profiler.dump_stats(os.environ['GODWITSHUNT_PROFILE'])


def main() -> None:
    """Run the entry process with both handlers installed."""
    signal.signal(signal.SIGUSR1, begin)
    signal.signal(signal.SIGUSR2, end)
    sys.path.insert(0, 'platform')
    sys.path.insert(1, '.')
    sys.argv = ['platform/entry.py']
    runpy.run_path('platform/entry.py', run_name='__main__')


if __name__ == '__main__':
    main()
