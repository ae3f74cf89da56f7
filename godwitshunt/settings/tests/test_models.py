"""Validation of settings files."""

import json

import pytest

from godwitshunt.exceptions import SettingsError
from godwitshunt.manifest import Engine, Service, ServiceKind
from godwitshunt.manifest.documents import read_settings
from godwitshunt.settings import EntrySettings, SchedulingSettings

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
def test_invalid_field_is_reported_with_its_file(tmp_path, change, field):
    """A mistyped setting is reported with its file and field."""
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps(SETTINGS | change))
    with pytest.raises(SettingsError) as caught:
        read_settings(path, EntrySettings)
    assert caught.value.source == str(path)
    assert caught.value.problems[0].field == field
    assert caught.value.problems[0].expected


@pytest.mark.parametrize('text', [None, '', '{', '[]', '{"name": "a"}'])
def test_unreadable_file_raises_settings_error(tmp_path, text):
    """A missing, empty, truncated or incomplete file is rejected."""
    path = tmp_path / 'entry.json'
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError):
        read_settings(path, EntrySettings)


def test_advertised_address_overrides_listening_address(tmp_path):
    """Behind NAT, other processes need the external address."""
    external = {'host': '127.0.0.9', 'port': 80}
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps(SETTINGS | {'http_advertised': external}))
    settings = read_settings(path, EntrySettings)
    assert settings.http_endpoint.host == '127.0.0.9'
    assert settings.peer_endpoint == settings.peer


def service(slots: int | None) -> Service:
    """Return a service whose engines have some slots; None for no engine."""
    engine = slots and Engine(slots=slots, memory_tokens=1000)
    return Service(name='s', kind=ServiceKind.plain, engine=engine)


@pytest.mark.parametrize(
    ('queue_max_slots', 'slots', 'applies'),
    [(0, 1, False), (32, 24, True), (32, 32, True), (32, 33, False)],
)
def test_services_with_few_slots_are_scheduled(queue_max_slots, slots, applies):
    """Other deployments' services must not be queued without the setting."""
    settings = SchedulingSettings(queue_max_slots=queue_max_slots)
    assert settings.applies_to(service(slots)) is applies
    assert not settings.applies_to(service(None))
