"""A process with a router, or one with a tunnel to another, that measures its memory.

It takes the registration of an upstream as its argument, and whether to use a tunnel.
"""

from __future__ import annotations

import json
import sys
import tracemalloc

import gevent
from cutpaths import Cut, PathSwitch
from gevent.fileobject import FileObject
from routers import RunningFleet

from rosemaryseam.router.documentcodec import UPSTREAM_PREFIX

# Gives callers the smallest memory that a host sets aside for them.
MEMORY_BYTES = 60_000_000


class _SmallFleet(RunningFleet):
    def make_host(self, number: int, **changes: object) -> object:
        return super().make_host(number, memory_bytes=MEMORY_BYTES, **changes)


def _main(entry: str, tunnelled: bool) -> None:
    fleet = _SmallFleet(2 if tunnelled else 1)
    host = fleet.hosts[0]
    if tunnelled:
        PathSwitch(host).cut = Cut.REFUSE
    fleet.store.put(UPSTREAM_PREFIX + 'one', entry.encode())
    for each in fleet.hosts:
        each.wait(lambda each=each: 'one' in each.usable())
    gevent.sleep(0.3)
    stdin = FileObject(sys.stdin.buffer, 'rb')
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    print(json.dumps([*host.cfg.callers, host.cfg.caller_memory_bytes]), flush=True)
    stdin.readline()
    _, peak = tracemalloc.get_traced_memory()
    tunnels = int(host.router.metrics.value('tunnels_opened'))
    print(json.dumps([peak - before, tunnels]), flush=True)
    host.router.kill()


if __name__ == '__main__':
    _main(sys.argv[1], sys.argv[2] == 'tunnel')
