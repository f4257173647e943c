"""One prompt part crashes each runner that begins to answer; is it sent on."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time
from typing import TYPE_CHECKING

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.fleet import Host, Record, run_case  # noqa: E402
from common.scene import HOSTS, KEY, Scene, configuration, prompt_headers  # noqa: E402

if TYPE_CHECKING:
    from common.server import Runner

RUNNERS = 6
DEADLY = 'dead0001'
SHARED = 'aaaa0001'
SOUND_INTERVAL_S = 0.05  # between two sound requests
DEADLY_INTERVAL_S = 1.0  # between two requests with the part
DEADLY_REQUESTS = 20
EXPIRY_S = 3.6  # three heartbeats, after which the store drops an entry
BACK_S = 4.0  # from a runner's crash to its return under another id
STABLE_S = 3.0  # stableWindowMs
ALLOWED = 3


async def send_sound(scene: Scene) -> None:
    """Send sound requests that share their first part and their caller."""
    for number in itertools.count():
        name, host = f'sound-{number:04d}', scene.hosts[number % HOSTS]
        headers = prompt_headers([SHARED])
        scene.spawn(scene.call(host, name, f'/coach/{name}', headers, 5000, b'{}'))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def case(
    record: Record, folder: pathlib.Path, trouble: bool, hosts: list[Host]
) -> bool:
    """Send requests with the part, one a second, beside sound ones."""
    scene = Scene(record, folder, hosts)
    crashes: list[float] = []
    deadly_part = DEADLY if trouble else ''

    def note_crash(runner: Runner) -> None:
        crashes.append(time.monotonic())
        scene.spawn(bring_back(runner))

    async def bring_back(runner: Runner) -> None:
        await asyncio.sleep(EXPIRY_S)
        scene.store.delete(f'servers/{runner.id}')
        record(f'the store drops {runner.id}')
        await asyncio.sleep(BACK_S - EXPIRY_S)
        await add_runner(ip=runner.ip, port=runner.port)

    async def add_runner(**address: object) -> None:
        await scene.add_runner(
            'models', deadly_part=deadly_part, on_crash=note_crash, **address
        )

    await scene.open(configuration(1, {KEY: 'north'}))
    for _ in range(RUNNERS):
        await add_runner()
    await scene.start_hosts()
    sound = asyncio.create_task(send_sound(scene))
    await asyncio.sleep(STABLE_S + 0.5)
    for number in range(DEADLY_REQUESTS):
        name, host = f'deadly-{number:03d}', hosts[number % HOSTS]
        headers = prompt_headers([SHARED, DEADLY])
        scene.spawn(scene.call(host, name, f'/coach/{name}', headers, 5000, b'{}'))
        await asyncio.sleep(DEADLY_INTERVAL_S)
    sound.cancel()
    await scene.finish()
    if len(crashes) < 5:
        record('there were fewer than five crashes')
        return False
    counted_from = sorted(crashes)[4] + STABLE_S
    late = [
        one
        for one in scene.arrivals
        if one.at > counted_from and one.id.startswith('deadly')
    ]
    record(
        f'{len(late)} requests with the part reached runners later than stableWindowMs'
        f' after the fifth crash ({counted_from - record.began:.3f});'
        f' {len(crashes)} crashes in all'
    )
    return len(late) > ALLOWED


if __name__ == '__main__':
    run_case(HERE, case)
