"""The budget that the platform's adapter derives from a machine's memory."""

from pathlib import Path

import pytest

from tests.platform_documents import boot_document

FOLDER = Path(__file__).parent.parent / 'platform'


@pytest.fixture
def boot_model(monkeypatch):
    """Return the model of the settings file."""
    monkeypatch.syspath_prepend(str(FOLDER))
    from platform_adapter.boot import Boot

    return Boot


@pytest.mark.parametrize(
    ('limits', 'buffer_bytes'),
    [
        ({'memory_mb': 200}, 68 << 20),
        ({'memory_mb': 296.0}, 116 << 20),
        ({'memory_mb': 50}, 4 << 20),
        ({'cores': 0.5}, None),
        ({}, None),
    ],
)
def test_buffer_budget_leaves_memory_for_the_process(
    boot_model, tmp_path, limits, buffer_bytes
):
    """A budget of the whole memory would end the process at its bound."""
    document = boot_document('10.1.0.1', 'zone-a', tmp_path, control=False)
    boot = boot_model.model_validate({**document, 'limits': limits})
    assert boot.ingress_settings().limits.buffer_bytes == buffer_bytes


def test_settings_file_without_limits(boot_model, tmp_path):
    """A platform that does not state them must not stop the process."""
    document = boot_document('10.1.0.1', 'zone-a', tmp_path, control=False)
    document.pop('limits')
    boot = boot_model.model_validate(document)
    assert boot.ingress_settings().limits.buffer_bytes is None
