"""Mistakes in settings files get errors that name them."""

import json

import pytest

from godwitshunt.exceptions import SettingsError
from godwitshunt.manifest.documents import read_settings
from godwitshunt.settings import EntrySettings

SETTINGS = {
    'name': 'zagreb-1',
    'region': 'zagreb',
    'failure_domain': 'zagreb-a',
    'http': {'host': '127.0.0.1', 'port': 8080},
    'peer': {'host': '127.0.0.1', 'port': 8081},
    'control': [{'host': '127.0.0.1', 'port': 9001}],
    'cluster_key_file': 'cluster.key',
}


@pytest.mark.parametrize(
    ('change', 'field'),
    [
        ({'http': {'host': '127.0.0.1', 'port': 0}}, 'http.port'),
        ({'htpt': {}}, 'htpt'),
        ({'control': []}, 'control'),
        ({'name': 'Zagreb 1'}, 'name'),
        ({'isolation_lease_s': -1}, 'isolation_lease_s'),
        ({'upstream_lease_s': 30}, 'upstream_lease_s'),
        ({'limits': {'body_bytes': 'much'}}, 'limits.body_bytes'),
    ],
)
def test_mistake_names_file_field_and_value(tmp_path, change, field):
    """An operator mistypes a setting; the process says where and stops."""
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps(SETTINGS | change))
    with pytest.raises(SettingsError) as refused:
        read_settings(path, EntrySettings)
    assert refused.value.source == str(path)
    assert refused.value.problems[0].field == field
    assert refused.value.problems[0].expected


@pytest.mark.parametrize('text', [None, '', '{', '[]', '{"name": "a"}'])
def test_unreadable_file_is_a_settings_error(tmp_path, text):
    """A file that is missing, empty or cut short is refused as a whole."""
    path = tmp_path / 'entry.json'
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError):
        read_settings(path, EntrySettings)


def test_advertised_address_goes_before_the_listened_one(tmp_path):
    """Behind address translation, others must be told the outer address."""
    outer = {'host': '127.0.0.9', 'port': 80}
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps(SETTINGS | {'http_advertised': outer}))
    settings = read_settings(path, EntrySettings)
    assert settings.http_endpoint.host == '127.0.0.9'
    assert settings.peer_endpoint == settings.peer
