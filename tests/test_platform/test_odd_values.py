"""Tests that one odd value in the store costs that value alone."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import gevent
import pytest
from oddvalues import CONFIGURATION, ENTRY, ODD_CONFIGURATIONS, ODD_ENTRIES, OddValue

from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.platform.state import CONFIGURATION_KEY, PlatformStateCodec
from rosemaryseam.router.feed import StateFeed
from rosemaryseam.router.upstreams import Registry
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

APPLY_S = 2.0  # until a change must be in force


class Following:
    """A feed that follows a store with a configuration and an upstream."""

    def __init__(self) -> None:
        self.store = MemoryRangeStore(SystemClock())
        self.registry = Registry()
        self.metrics = Metrics()
        self.feed = StateFeed(
            self.store,
            PlatformStateCodec(),
            self.registry,
            SystemClock(),
            self.metrics,
            random.Random(1),
            lambda _: None,
            lambda _: None,
        )
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow the store in the background."""
        self._greenlet = gevent.spawn(self.feed.run)

    def stop(self) -> None:
        """Stop following."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def configure(self, version: int) -> None:
        """Write a valid configuration."""
        document = {**CONFIGURATION, 'version': version}
        self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())

    def register(self, name: str, port: int) -> None:
        """Write the entry of a sound upstream."""
        entry = {**ENTRY, 'addr': f'10.0.0.9:{port}'}
        self.store.put(f'servers/{name}', json.dumps(entry).encode())

    def usable(self) -> set[str]:
        """Return the ids of the upstreams in use."""
        return {upstream.id for upstream in self.registry.all()}

    def version(self) -> int | None:
        """Return the version in force."""
        return self.feed.table.version if self.feed.table else None

    def wait(self, condition: Callable[[], bool]) -> bool:
        """Return whether a condition holds in time."""
        with gevent.Timeout(APPLY_S, False):
            while not condition():
                gevent.sleep(0.005)
            return True
        return False


@pytest.fixture
def following() -> Iterator[Following]:
    """Yield a feed that is not started yet."""
    running = Following()
    running.configure(1)
    running.register('one', 8001)
    yield running
    running.stop()


def put_between_sound_values(following: Following, key: str, odd: OddValue) -> None:
    """Write an odd value, and sound ones after it."""
    following.store.put(key, odd.value)
    following.register('two', 8002)
    following.configure(9)


# Guards against feeds that stop at one entry of another writer (issue 42): routes of
# later versions got 404, and keys could not be checked.
@pytest.mark.parametrize('when', ['first read', 'watch', 'read after lost history'])
@pytest.mark.parametrize('odd', ODD_ENTRIES, ids=lambda odd: odd.name)
def test_an_odd_entry_costs_that_entry_alone(
    odd: OddValue, when: str, following: Following
) -> None:
    if when == 'first read':
        put_between_sound_values(following, 'servers/odd', odd)
        following.start()
    else:
        following.start()
        assert following.wait(lambda: following.usable() == {'one'})
        put_between_sound_values(following, 'servers/odd', odd)
        if when == 'read after lost history':
            following.store.compact_history()
    assert following.wait(lambda: following.usable() >= {'one', 'two'})
    assert following.wait(lambda: following.version() == 9)
    following.configure(10)
    assert following.wait(lambda: following.version() == 10)
    assert following.usable() - {'odd'} == {'one', 'two'}
    assert following.metrics.work_failures.failing() == {}
    assert following.feed.status.failures == 0


# Guards against odd entries that are taken and break the work that uses them.
@pytest.mark.parametrize('odd', ODD_ENTRIES, ids=lambda odd: odd.name)
def test_an_odd_entry_names_no_upstream(odd: OddValue, following: Following) -> None:
    put_between_sound_values(following, 'servers/odd', odd)
    following.start()
    assert following.wait(lambda: following.version() == 9)
    assert following.usable() == {'one', 'two'}


# Guards against invalid configurations that are taken, or that stop the feed: later
# versions were ignored and requests ended at once (hypothesis 2 of issue 42).
@pytest.mark.parametrize('when', ['first read', 'watch'])
@pytest.mark.parametrize('odd', ODD_CONFIGURATIONS, ids=lambda odd: odd.name)
def test_an_invalid_configuration_leaves_the_one_in_force(
    odd: OddValue, when: str, following: Following
) -> None:
    if when == 'watch':
        following.start()
        assert following.wait(lambda: following.version() == 1)
    following.store.put(CONFIGURATION_KEY, odd.value)
    following.register('two', 8002)
    if when == 'first read':
        following.start()
    assert following.wait(lambda: following.usable() == {'one', 'two'})
    assert following.version() == (1 if when == 'watch' else None)
    following.configure(9)
    assert following.wait(lambda: following.version() == 9)
    assert following.metrics.work_failures.failing() == {}
