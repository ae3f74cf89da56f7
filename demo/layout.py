"""The demonstration deployment: regions, VMs, upstreams, files."""

import hashlib
import json
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from standins.ports import free_port

REGIONS = ('zagreb', 'split', 'rijeka')
ENTRIES_PER_REGION = 2


@dataclass(frozen=True)
class Member:
    """One process of the deployment.

    Parameters
    ----------
    name, region : str
        Who it is and where it stands.
    kind : str
        ``entry``, ``control``, ``engine`` or ``service``.
    host : str
        Its loopback address.
    http, peer : int
        Its ports; ``peer`` is 0 for upstreams.
    """

    name: str
    region: str
    kind: str
    host: str
    http: int
    peer: int = 0

    @property
    def address(self) -> str:
        """Host and HTTP port."""
        return f'{self.host}:{self.http}'


def caller_key(caller: str) -> str:
    """Return the key of a demonstration caller."""
    return f'{caller}-key'


def sha256(text: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(frozen=True)
class Layout:
    """Every process of the deployment and the folder with its files.

    Parameters
    ----------
    folder : Path
        Where the files go.
    members : tuple of Member
        Every process.
    relays : mapping
        By (host, port) of a listener, the port of a relay before it; others
        are told of the relay instead. Empty without relays.
    """

    folder: Path
    members: tuple[Member, ...]
    relays: Mapping[tuple[str, int], int] = field(default_factory=dict)

    @classmethod
    def from_config(cls, folder: Path, regions: tuple[str, ...]) -> Self:
        """Choose loopback addresses and free ports for each process."""
        members = []
        for place, region in enumerate(regions, start=1):
            network = f'127.0.{place}'
            for index in range(1, ENTRIES_PER_REGION + 1):
                members.append(
                    make_member(f'{network}.{index}', region, 'entry', index),
                )
            members.append(make_member(f'{network}.10', region, 'control'))
            members.append(make_member(f'{network}.20', region, 'engine'))
            members.append(make_member(f'{network}.30', region, 'service'))
        return cls(folder, tuple(members))

    def of_kind(self, kind: str, region: str | None = None) -> list[Member]:
        """Return the processes of a kind, of one region where it is given."""
        return [
            member
            for member in self.members
            if member.kind == kind and region in {None, member.region}
        ]

    def settings_path(self, member: Member) -> Path:
        """Return the path of a process's settings file."""
        return self.folder / f'{member.name}.json'

    @property
    def manifest_path(self) -> Path:
        """Path of the manifest."""
        return self.folder / 'manifest.json'

    @property
    def token_path(self) -> Path:
        """Path of the operator token."""
        return self.folder / 'operator.token'

    @property
    def key_path(self) -> Path:
        """Path of the cluster key."""
        return self.folder / 'cluster.key'

    def write(self) -> None:
        """Write keys, settings files and the manifest."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key_path.write_text(secrets.token_hex())
        token = secrets.token_hex()
        self.token_path.write_text(token)
        for member in self.of_kind('entry') + self.of_kind('control'):
            settings = self.settings(member, sha256(token))
            self.settings_path(member).write_text(
                json.dumps(settings, indent=2),
            )
        self.manifest_path.write_text(json.dumps(make_manifest(1), indent=2))

    def reached(self, host: str, port: int) -> dict[str, Any]:
        """Return the address at which others reach a listener."""
        return {'host': host, 'port': self.relays.get((host, port), port)}

    def settings(self, member: Member, token_hash: str) -> dict[str, Any]:
        """Return the settings of an entry or control process."""
        control = [
            self.reached(other.host, other.peer)
            for other in self.of_kind('control')
        ]
        settings = {
            'name': member.name,
            'region': member.region,
            'failure_domain': f'{member.region}-a',
            'http': {'host': member.host, 'port': member.http},
            'peer': {'host': member.host, 'port': member.peer},
            'control': control,
            'cluster_key_file': str(self.key_path),
            'log': {'path': str(self.folder / f'{member.name}.log')},
        }
        if self.relays:
            settings['http_advertised'] = self.reached(member.host, member.http)
            settings['peer_advertised'] = self.reached(member.host, member.peer)
        if member.kind == 'control':
            settings['data_folder'] = str(self.folder / f'{member.name}.data')
            settings['operator_token_sha256'] = token_hash
        return settings


def make_member(host: str, region: str, kind: str, index: int = 0) -> Member:
    """Choose the ports of one process."""
    name = f'{region}-{kind}-{index}' if index else f'{region}-{kind}'
    peer = free_port(host) if kind in {'entry', 'control'} else 0
    return Member(name, region, kind, host, free_port(host), peer)


def make_manifest(number: int) -> dict[str, Any]:
    """Return the demonstration's manifest."""
    return {
        'number': number,
        'deployment': 'demo',
        'regions': [
            {'name': region, 'failure_domains': [f'{region}-a']}
            for region in REGIONS
        ],
        'services': [
            {'name': 'chat', 'kind': 'model'},
            {
                'name': 'archive',
                'kind': 'plain',
                'non_idempotent_methods': ['POST'],
            },
        ],
        'models': [{'name': 'review', 'service': 'chat'}],
        'classes': [
            {'name': 'urgent', 'priority': 5, 'deadline_s': 10},
            {'name': 'long', 'deadline_s': 120, 'slot_share': 0.75},
        ],
        'residency': [{'name': 'zagreb-only', 'regions': ['zagreb']}],
        'callers': [
            make_caller('site-office', 'split', 'urgent'),
            make_caller('archive-desk', 'rijeka', 'long'),
            make_caller('zagreb-records', 'zagreb', 'urgent', 'zagreb-only'),
        ],
        'objective': {'latency': 1.0, 'cost': 0.2, 'share_away': 0.5},
    }


def make_caller(
    name: str,
    home: str,
    request_class: str,
    residency: str | None = None,
) -> dict[str, Any]:
    """Return a caller's part of the manifest."""
    return {
        'name': name,
        'key_sha256': sha256(caller_key(name)),
        'home': home,
        'request_class': request_class,
        'residency': residency,
    }
