"""Crowds of misbehaving callers as a disturbance of the soak."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import crowds
import gevent
from caller import HOST
from crowds import Crowd, RunningCrowd
from environment import FRONT_PORT

if TYPE_CHECKING:
    import pathlib
    import random
    from collections.abc import Callable, Iterator

    from environment import RouterProcess, SoakEnvironment

MAX_BODY_BYTES = 4_194_304
MAX_SILENT_S = 2.0  # between two crowds
LASTS_S = (1.0, 4.0)
HEAD = f'POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: '


def _scripts(key: str) -> list[Callable[[], Iterator[bytes | None]]]:
    """Return what crowds send; no request is complete and allowed.

    :param key: an API key that may be in force
    """
    known = f'{HEAD}{key}\r\n'.encode()
    unknown = f'{HEAD}none\r\n'.encode()
    return [
        crowds.whole(unknown, MAX_BODY_BYTES),
        crowds.whole(unknown, 60_000),
        crowds.unfinished(known, MAX_BODY_BYTES),
        crowds.unfinished(known, 60_000),
        crowds.unfinished_chunks(known, MAX_BODY_BYTES),
        crowds.small_chunks(known, 20_000),
        crowds.flood(known, 1_000_000_000),
        crowds.flood(known, None),
        crowds.small_headers(known, 16_000, b'Content-Length: 9\r\n\r\n'),
        crowds.silent,
    ]


def send_crowds(env: SoakEnvironment, rng: random.Random, for_s: float) -> None:
    """Let crowds call the routers, one after the other.

    :param env: environment of the soak
    :param rng: decides what the crowds send
    :param for_s: period in which new crowds come, in seconds
    """
    ends_at = time.monotonic() + for_s
    while time.monotonic() < ends_at:
        gevent.sleep(rng.uniform(0.0, MAX_SILENT_S))
        router = rng.choice(env.routers)
        key = rng.choice(sorted(env.keys))
        crowd = Crowd(rng.randint(5, 40), rng.choice(_scripts(key)), rng.random() < 0.8)
        running = RunningCrowd(crowd, (router.ip, FRONT_PORT))
        gevent.sleep(rng.uniform(*LASTS_S))
        running.stop()


def find_overuse(router: RouterProcess, proc: pathlib.Path) -> list[str]:
    """Return a violation if a router held more memory than its host has.

    :param router: the router
    :param proc: folder of the process in the kernel's file system
    """
    for line in (proc / 'status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            most = int(line.split()[1]) * 1024
            if most >= router.memory_mb * 1_000_000:
                return [f'{router.name} held {most} bytes']
    return []
