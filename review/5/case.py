"""All hosts are killed while a prompt part crashes runners; is it sent again."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time
from typing import TYPE_CHECKING

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.fleet import CannotRunError, Host, Record, run_case  # noqa: E402
from common.scene import (  # noqa: E402
    HOSTS,
    KEY,
    RESTART_S,
    Scene,
    configuration,
    prompt_headers,
)

if TYPE_CHECKING:
    from common.server import Runner

RUNNERS = 9
DEADLY = 'dead0001'
SHARED = 'aaaa0001'
SOUND_INTERVAL_S = 0.08  # between two sound requests
FIRST_INTERVAL_S = 2.0  # between two requests with the part before the kill
FIRST_REQUESTS = 5
LATER_INTERVAL_S = 3.0  # the same after the kill
LATER_REQUESTS = 6
BACK_S = 2.0  # from a runner's crash to its return under its id
STABLE_S = 3.0  # stableWindowMs
ALLOWED = 3


async def send_sound(scene: Scene) -> None:
    """Send sound requests that share their first part and their caller."""
    for number in itertools.count():
        name, host = f'sound-{number:04d}', scene.hosts[number % HOSTS]
        headers = prompt_headers([SHARED])
        scene.spawn(scene.call(host, name, f'/coach/{name}', headers, 5000, b'{}'))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def send_deadly(scene: Scene, prefix: str, count: int, interval_s: float) -> None:
    """Send requests with the part that crashes runners."""
    for number in range(count):
        name, host = f'deadly-{prefix}-{number}', scene.hosts[number % HOSTS]
        headers = prompt_headers([SHARED, DEADLY])
        scene.spawn(scene.call(host, name, f'/coach/{name}', headers, 5000, b'{}'))
        await asyncio.sleep(interval_s)


async def case(
    record: Record, folder: pathlib.Path, trouble: bool, hosts: list[Host]
) -> bool:
    """Kill all hosts after they have learned which part crashes runners."""
    scene = Scene(record, folder, hosts)
    crashes: list[float] = []

    def note_crash(runner: Runner) -> None:
        crashes.append(time.monotonic())
        scene.spawn(bring_back(runner))

    async def bring_back(runner: Runner) -> None:
        await asyncio.sleep(BACK_S)
        await add_runner(ip=runner.ip, port=runner.port, name=runner.id)

    async def add_runner(**address: object) -> None:
        await scene.add_runner(
            'models', deadly_part=DEADLY, on_crash=note_crash, **address
        )

    await scene.open(configuration(1, {KEY: 'north'}))
    for _ in range(RUNNERS):
        await add_runner()
    await scene.start_hosts()
    sound = asyncio.create_task(send_sound(scene))
    await asyncio.sleep(STABLE_S + 0.5)
    await send_deadly(scene, 'together', HOSTS, 0.0)
    await asyncio.sleep(FIRST_INTERVAL_S)
    await send_deadly(scene, 'first', FIRST_REQUESTS, FIRST_INTERVAL_S)
    record(f'{len(crashes)} crashes so far')
    if trouble:
        scene.kill_all()
        await asyncio.sleep(RESTART_S)
        scene.start_all()
        await scene.wait_ready()
    await asyncio.sleep(STABLE_S + 0.5)
    record('all hosts are in touch')
    counted_from = time.monotonic()
    await send_deadly(scene, 'later', LATER_REQUESTS, LATER_INTERVAL_S)
    sound.cancel()
    await scene.finish()
    if len(crashes) < 5:
        raise CannotRunError('there were fewer than five crashes')
    counted_from = max(counted_from, sorted(crashes)[4] + STABLE_S)
    late = [
        one
        for one in scene.arrivals
        if one.at > counted_from and one.id.startswith('deadly')
    ]
    record(
        f'{len(late)} requests with the part reached runners later than stableWindowMs'
        f' after the fifth crash, from hosts in touch; {len(crashes)} crashes in all'
    )
    return len(late) > ALLOWED


if __name__ == '__main__':
    run_case(HERE, case)
