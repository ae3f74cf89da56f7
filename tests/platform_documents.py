"""Configurations and settings files as the platform writes them."""

import os

from tests.platform_client import FRONT, HOST

# Work trees whose tests run at the same time set different prefixes.
ADDRESS_PREFIX = os.environ.get('GODWITSHUNT_TEST_NETWORK', '127.0')
NETWORK = f'{ADDRESS_PREFIX}.9'
ZONES = {'zone-a': 'north', 'zone-b': 'south'}
CONTROL_HOSTS = (f'{NETWORK}.1', f'{NETWORK}.2', f'{NETWORK}.3')
READY = 8140
CONTROL, DIRECTORY = 8146, 8143
INTERNAL = 7660
REVOKE_MS = 3000


def configuration(version=1, **changes):
    """Return a configuration with a route of each kind."""
    document = {
        'version': version,
        'routes': [
            route('safe', '/safe/', max_attempts=2),
            route('unsafe', '/unsafe/'),
            route('stream', '/once/', service='llm'),
            route(
                'stream',
                '/resumed/',
                service='llm',
                resumable=True,
                max_attempts=2,
            ),
            route('safe', '/south/', home_regions=['south']),
            route('safe', '/engines/', service='llm', max_attempts=2),
        ],
        'services': [
            {'name': 'app', 'max_connections': 96, 'health_path': '/healthz'},
            {
                'name': 'llm',
                'cold_start_s': 3.0,
                'cold_per_s': 6.6,
                'engine': {'slots': 8, 'kv_capacity': 9000, 'stride': 5},
            },
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 65536,
            'header_timeout_ms': 600,
            'idle_timeout_ms': 15000,
        },
        'unknown': {'ignored': True},
    }
    return {**document, **changes}


def route(kind, prefix, service='app', **changes):
    """Return a route."""
    fields = {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path_prefix': prefix,
        'type': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 800,
        'service': service,
        'max_attempts': 1,
    }
    return {**fields, **changes}


def boot_document(
    host,
    zone,
    folder,
    *,
    control,
    bootstrap=True,
    seeds=CONTROL_HOSTS,
    scheduling=None,
):
    """Return a settings file as the platform writes it."""
    listen = {
        'frontend': f'{host}:{FRONT}',
        'ready': f'{host}:{READY}',
        'directory': f'{host}:{DIRECTORY}',
    }
    if control:
        listen = {
            'control_plane': f'{host}:{CONTROL}',
            'directory': f'{host}:{DIRECTORY}',
        }
    return {
        'node_name': f'node-{host}',
        'ip': host,
        'zone': zone,
        'region': ZONES[zone],
        'zones': ZONES,
        'listen': listen,
        'internal_port_range': [INTERNAL, INTERNAL + 15],
        'seeds': [f'{one}:{CONTROL}' for one in seeds],
        'bootstrap': bootstrap,
        'data_dir': str(folder / host) if control else None,
        'bounds': {
            'retry_budget_ratio': 0.2,
            'retry_allowance': 52,
            'strict_revocation': True,
            'revoke_ms': REVOKE_MS,
        },
        'limits': {'memory_mb': 200, 'cores': 0.516},
        'new_field': 'ignored',
        **({} if scheduling is None else {'scheduling': scheduling}),
    }
