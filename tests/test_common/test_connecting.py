"""Tests connects to numeric addresses."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from rosemaryseam.common.addresses import Address
from rosemaryseam.router.upstreamconnection import connect_socket

BUSY_S = 0.4


# Guards against sound hosts that take themselves for partitioned, because their
# connects wait for the resolver's threads beyond the timeout.
def test_connects_do_not_wait_for_the_threads_of_the_resolver() -> None:
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    pool = gevent.get_hub().threadpool
    busy = [pool.spawn(time.sleep, BUSY_S) for _ in range(pool.maxsize)]
    try:
        began = time.monotonic()
        sock = connect_socket(Address(*listener.getsockname()), 0.15)
        sock.close()
        assert time.monotonic() - began < BUSY_S / 2
    finally:
        gevent.joinall(busy)
        listener.close()
