"""Signals that arrive while a router starts."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import gevent
import pytest
from storeserver import StoreServer
from world import RouterProcess

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

INTERPRETER_S = 0.15  # until the program's first line, on a busy machine
STARTED_S = 15.0
GAP_S = 0.01


@pytest.fixture
def router(tmp_path: pathlib.Path) -> Iterator[RouterProcess]:
    """A router that is not started."""
    store = StoreServer()
    process = RouterProcess('r0', '127.77.0.1', tuple(store.address), tmp_path)
    yield process
    process.stop()
    store.stop()


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGUSR1])
def test_a_starting_router_survives(
    number: int, router: RouterProcess, tmp_path: pathlib.Path
) -> None:
    router.start()
    gevent.sleep(INTERPRETER_S)
    log = tmp_path / 'r0.log'
    with gevent.Timeout(STARTED_S):
        while '"started"' not in log.read_text():
            router.signal(number)
            gevent.sleep(GAP_S)
            assert router.is_running()
    gevent.sleep(0.2)
    assert router.is_running()
