"""One registry entry cannot be read; do the others still hold."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.fleet import CannotRunError, Host, Record, run_case  # noqa: E402
from common.scene import KEY, Scene, configuration  # noqa: E402

INTERVAL_S = 0.05  # between two requests of the callers of one host
UNREADABLE = b'[' * 2000  # no JSON document
STABLE_S = 3.5  # stableWindowMs is 3,000
DRAIN_S = 2.0  # drainMs
AFTER_S = 8.0


async def call_repeatedly(
    scene: Scene, host: Host, sent: dict[str, float], stopping: asyncio.Event
) -> None:
    """Send safe requests to one host, each on a connection of its own."""
    for number in itertools.count():
        if stopping.is_set():
            return
        name = f'{host.name}-{number:04d}'
        sent[name] = time.monotonic()
        scene.spawn(scene.call(host, name, f'/lookup/{name}', {}, 1500))
        await asyncio.sleep(INTERVAL_S)


async def case(
    record: Record, folder: pathlib.Path, trouble: bool, hosts: list[Host]
) -> bool:
    """Have a runner leave while the registry holds an unreadable entry."""
    scene = Scene(record, folder, hosts)
    await scene.open(configuration(1, {KEY: 'north'}))
    for _ in range(3):
        await scene.add_runner('case-desk')
    await scene.start_hosts()
    sent: dict[str, float] = {}
    stopping = asyncio.Event()
    for host in hosts:
        scene.spawn(call_repeatedly(scene, host, sent, stopping))
    await asyncio.sleep(STABLE_S)
    if trouble:
        scene.store.put('servers/other-writer', UNREADABLE)
        record('another writer writes servers/other-writer, which cannot be read')
        await asyncio.sleep(0.5)
    leaving = scene.runners[0]
    leaving.state = 'draining'
    leaving.register()
    drained_at = time.monotonic() + DRAIN_S
    await asyncio.sleep(AFTER_S)
    ready = [await host.is_ready() for host in hosts]
    record(f'hosts that are ready at the end: {sum(ready)} of {len(hosts)}')
    stopping.set()
    await asyncio.sleep(1.0)
    await scene.finish()
    own = [one for one in scene.arrivals if one.runner == leaving.id and one.ran]
    late = [one for one in own if sent[one.id] > drained_at]
    record(
        f'{len(late)} requests sent later than drainMs after the acknowledgement'
        f' reached the leaving runner {leaving.id}'
    )
    if not own:
        raise CannotRunError('the runner got no requests before it left')
    return bool(late)


if __name__ == '__main__':
    run_case(HERE, case)
