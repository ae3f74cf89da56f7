"""All machines lose power at the moment at which a disk is lost."""

import json
import shutil
import signal

from tests.platform_documents import ADDRESS_PREFIX, configuration
from tests.platform_world import World, until

CONTROL_HOSTS = tuple(f'{ADDRESS_PREFIX}.17.{number}' for number in (1, 2, 3))
ENTRY_ZONES = {
    f'{ADDRESS_PREFIX}.17.11': 'zone-a',
    f'{ADDRESS_PREFIX}.17.21': 'zone-b',
}
OK = 200
VERSION = 7
RECOVERY_S = 20.0


def make_world(folder):
    """Return a deployment with addresses of its own."""
    return World(
        folder,
        control_hosts=CONTROL_HOSTS,
        entry_zones=ENTRY_ZONES,
        network=f'{ADDRESS_PREFIX}.17',
    )


async def lose_power(world, lost):
    """Kill all processes at once, and start them without one's disk."""
    for process in world.processes.values():
        process.send_signal(signal.SIGKILL)
    for process in world.processes.values():
        await process.wait()
    shutil.rmtree(world.folder / lost)
    for host in (*world.control_hosts, *world.entry_zones):
        await world.start_process(
            host,
            world.entry_zones.get(host, 'zone-a'),
            control=host in world.control_hosts,
            bootstrap=False,
        )


async def test_acknowledged_configuration_outlives_power_and_a_disk(tmp_path):
    """One control process loses its folder; no process of any kind is left.

    The configuration was acknowledged just before by the one that loses it.
    """
    world = make_world(tmp_path)
    try:
        await world.start()
        await change_and_lose(world, CONTROL_HOSTS[0])
    finally:
        await world.close()


async def change_and_lose(world, lost):
    """Change the configuration, lose power and a folder; see it in force."""
    document = configuration(VERSION)
    changed = await world.control('PUT', '/-/config', document, lost)
    assert changed.status == OK
    await lose_power(world, lost)

    async def has_version():
        versions = [await read_version(world, host) for host in CONTROL_HOSTS]
        assert set(versions) <= {VERSION, None}
        return VERSION in versions

    await until(has_version, RECOVERY_S)
    await until(world.is_serving, RECOVERY_S)


async def read_version(world, host):
    """Return the configuration's version at a host; None where none comes."""
    read = await world.control('GET', '/-/config', host=host)
    return json.loads(read.body)['version'] if read.status == OK else None
