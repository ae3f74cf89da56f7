"""The operators' pages name every setting, metric and log line."""

import inspect
import re
from pathlib import Path

import pytest

from godwitshunt.manifest import models as manifest_models
from godwitshunt.settings import models as settings_models

ROOT = Path(__file__).parent.parent
PAGES = '\n'.join(
    page.read_text() for page in sorted(ROOT.glob('docs/operators/*.md'))
)
CODE = '\n'.join(
    module.read_text()
    for module in sorted(ROOT.glob('godwitshunt/**/*.py'))
    if 'tests' not in module.parts and 'gen' not in module.parts
)
METRICS = re.findall(
    r"metrics\.(?:count|gauge|observe)\(\s*'([a-z_]+)'",
    CODE,
)
LOG_LINES = re.findall(r"log_change\(\s*'([a-z_:]+)'", CODE)


def fields_of(module) -> list[str]:
    """Return the names of every field of a module's models."""
    models = [
        each
        for _, each in inspect.getmembers(module, inspect.isclass)
        if hasattr(each, 'model_fields')
    ]
    return sorted({name for each in models for name in each.model_fields})


@pytest.mark.parametrize('name', sorted(set(METRICS + LOG_LINES)))
def test_metric_or_log_line_is_explained(name):
    """An operator sees a name at night and searches the pages for it."""
    assert f'`{name}' in PAGES


@pytest.mark.parametrize(
    'name',
    fields_of(settings_models) + fields_of(manifest_models),
)
def test_setting_is_explained(name):
    """An operator finds a field in a file and searches the pages for it."""
    shown = {'host', 'port'}
    assert name in shown or f'`{name}' in PAGES


def test_links_between_pages_lead_somewhere():
    """A reader follows a link to another page of the project."""
    pages = (ROOT / 'README.md', *ROOT.glob('docs/**/*.md'))
    for page in pages:
        for link in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            assert (page.parent / link).exists(), f'{page.name}: {link}'
