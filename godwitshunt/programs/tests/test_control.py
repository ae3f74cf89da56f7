"""Mistakes in the settings of a control replica, before it starts."""

import json
import socket
from types import MappingProxyType

import pytest

from godwitshunt.programs.control import control

ADDRESS = MappingProxyType({'host': '127.0.0.1', 'port': 1})


def write_settings(folder, **changes):
    """Write settings with some fields changed; return their path."""
    (folder / 'key').write_text('key')
    fields = {
        'name': 'c1',
        'region': 'zagreb',
        'failure_domain': 'zagreb-a',
        'http': {'host': '127.0.0.1', 'port': 0},
        'peer': ADDRESS,
        'control': [ADDRESS],
        'cluster_key_file': str(folder / 'key'),
        'data_folder': str(folder / 'data'),
        'operator_token_sha256': '0' * 64,
        'log': {'path': str(folder / 'log')},
    }
    path = folder / 'settings.json'
    path.write_text(json.dumps({**fields, **changes}, default=dict))
    return path


@pytest.mark.parametrize(
    ('changes', 'told'),
    [
        ({'http': ADDRESS, 'peer': {'host': 'x', 'port': 0}}, 'peer.port'),
        ({'http': ADDRESS, 'colour': 'red'}, 'colour'),
        ({'http': ADDRESS, 'operator_token_sha256': 'x'}, 'operator_token'),
        ({'http': ADDRESS, 'cluster_key_file': '/none'}, 'cluster_key_file'),
        ({'http': ADDRESS, 'cluster_key_file': '/dev/null'}, '(empty)'),
        ({'http': ADDRESS, 'peer': {'host': '192.0.2.1', 'port': 9}}, 'peer:'),
    ],
)
def test_wrong_settings_name_the_field(tmp_path, capsys, changes, told):
    """An operator makes a mistake in a settings file.

    The program ends with 2 and names the field; no traceback is shown.
    """
    path = write_settings(tmp_path, **changes)
    with pytest.raises(SystemExit) as ended:
        control(path)
    assert ended.value.code == 2
    assert told in capsys.readouterr().err


def test_address_in_use_is_told(tmp_path, capsys):
    """The replica is started twice, or another program has its port."""
    with socket.create_server(('127.0.0.1', 0)) as taken:
        address = {'host': '127.0.0.1', 'port': taken.getsockname()[1]}
        path = write_settings(tmp_path, http=ADDRESS, peer=address)
        with pytest.raises(SystemExit):
            control(path)
    assert 'peer' in capsys.readouterr().err
