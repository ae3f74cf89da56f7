"""The adapter's folder: nothing else knows its words, nothing is shadowed."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORDS = re.compile(
    'server-seal|attempt-id|not-executed|expect-instance|prefix-hash'
    '|token-count|request-urgency|cold_remaining_ms|heartbeat_address'
    '|/-/(config|instances|resolve|evacuations|readyz)|fleetbench'
    '|GODWITSHUNT_BOOT',
    re.IGNORECASE,
)


def test_no_word_of_the_platform_outside_its_folder():
    """Other deployments have other words; only the adapter may change."""
    modules = sorted(ROOT.glob('godwitshunt/**/*.py'))
    known = [one for one in modules if WORDS.search(one.read_text())]
    assert modules
    assert known == []


def test_standard_module_is_not_shadowed():
    """With an `__init__.py` in the folder, asyncio and pip could not start."""
    assert not (ROOT / 'platform' / '__init__.py').exists()
    found = subprocess.run(
        [sys.executable, '-c', 'import platform; print(platform.system())'],
        cwd=ROOT,
        env={'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == 'Linux'
