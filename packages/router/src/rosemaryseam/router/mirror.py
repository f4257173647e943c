"""What a host knows of the store, served to the other hosts."""

from __future__ import annotations

import base64
import json
import math
import time
import zlib
from collections import deque
from typing import TYPE_CHECKING, Any

import falcon
from gevent.event import Event

from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.exchange import call
from rosemaryseam.common.rangestore import (
    Changes,
    Freshness,
    HistoryLostError,
    Item,
    RefusedError,
    Snapshot,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.addresses import Address

KEPT_CHANGES = 4096
MOST_WAIT_MS = 30_000
PATH = '/mirror'


class Mirror:
    """All items that this host follows, and their last changes.

    :param age_s: returns how old the proof is that nothing is missing
    :param silent_s: returns how long ago the store was last heard of
    """

    def __init__(
        self, age_s: Callable[[], float], silent_s: Callable[[], float]
    ) -> None:
        self._age_s = age_s
        self._silent_s = silent_s
        self.asked_at = -math.inf  # when another host last asked
        self._items: dict[str, Item] = {}
        self._changes: deque[Item] = deque(maxlen=KEPT_CHANGES)
        self._floor = 0  # changes up to this revision are not kept
        self._changed = Event()
        self.revision = 0

    def load(self, snapshot: Snapshot) -> None:
        """Take over a complete reading.

        :param snapshot: of all items
        """
        self._items = {item.key: item for item in snapshot.items}
        self._changes.clear()
        self._floor = self.revision = snapshot.revision
        self._notify()

    def extend(self, changes: Changes) -> None:
        """Take over changes.

        :param changes: since the last revision
        """
        for item in changes.items:
            if len(self._changes) == KEPT_CHANGES:
                self._floor = self._changes[0].revision
            self._changes.append(item)
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self.revision = max(self.revision, changes.revision)
        if changes.items:
            self._notify()

    def snapshot(self) -> Snapshot:
        """Return all items."""
        self.asked_at = time.monotonic()
        proof = Freshness(self._age_s(), 0.0, self._silent_s())
        return Snapshot(tuple(self._items.values()), self.revision, proof)

    def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, as soon as there are any.

        :param after: the revision up to which changes are known
        :param wait_s: how long to wait for the first
        :raises HistoryLostError: changes since then are not kept
        """
        started = self.asked_at = time.monotonic()
        self._check_reach(after)
        if not self._after(after):
            self._changed.wait(wait_s)
            self._check_reach(after)
        held_s = time.monotonic() - started
        proof = Freshness(self._age_s(), held_s, self._silent_s())
        return Changes(tuple(self._after(after)), self.revision, proof)

    def _check_reach(self, revision: int) -> None:
        if not self._floor <= revision <= self.revision:
            raise HistoryLostError('the mirror does not reach this revision')

    def _after(self, revision: int) -> list[Item]:
        return [item for item in self._changes if item.revision > revision]

    def _notify(self) -> None:
        self._changed.set()
        self._changed.clear()


class MirrorResource:
    """Serves a mirror; the body is JSON, compressed.

    :param mirror: of this host
    """

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer all items, or the changes after a revision."""
        if not self._mirror.revision:
            raise falcon.HTTPServiceUnavailable()
        after = req.get_param_as_int('after')
        try:
            if after is None:
                answer: Snapshot | Changes = self._mirror.snapshot()
            else:
                wait_ms = req.get_param_as_int('wait_ms', max_value=MOST_WAIT_MS) or 0
                answer = self._mirror.wait(after, wait_ms / 1000)
        except HistoryLostError:
            raise falcon.HTTPGone() from None
        resp.content_type = falcon.MEDIA_JSON
        resp.data = zlib.compress(json.dumps(_plain(answer)).encode(), 1)


def build_mirror(mirror: Mirror) -> falcon.App:
    """Return the application that serves a mirror.

    :param mirror: of this host
    """
    application = falcon.App()
    application.add_route(PATH, MirrorResource(mirror))
    return application


def read_mirror(address: Address, timeout_s: float) -> Snapshot:
    """Read all items from another host's mirror.

    :param address: of the mirror
    :param timeout_s: deadline
    :raises PlatformError: the host did not answer, or knows nothing yet
    """
    data = _get(address, PATH, timeout_s)
    return Snapshot(_items(data), data['revision'], _proof(data))


def watch_mirror(
    address: Address, after: int, wait_s: float, timeout_s: float
) -> Changes:
    """Wait for changes at another host's mirror.

    :param address: of the mirror
    :param after: the revision up to which changes are known
    :param wait_s: how long the host holds the call when nothing changes
    :param timeout_s: deadline beyond that
    :raises HistoryLostError: the mirror does not reach so far back
    :raises PlatformError: the host did not answer
    """
    path = f'{PATH}?after={after}&wait_ms={int(wait_s * 1000)}'
    data = _get(address, path, wait_s + timeout_s)
    return Changes(_items(data), data['revision'], _proof(data))


def _get(address: Address, path: str, timeout_s: float) -> dict[str, Any]:
    try:
        answer = call(address, 'GET', path, timeout_s=timeout_s)
        if answer.status == 410:
            raise HistoryLostError('the mirror does not reach so far back')
        if answer.status != 200:
            raise RefusedError(f'the mirror answered {answer.status}')
        return json.loads(zlib.decompress(answer.body))
    except (OSError, ValueError, zlib.error) as exc:
        raise PlatformError(f'mirror at {address}: {exc}') from exc


def _plain(answer: Snapshot | Changes) -> dict[str, Any]:
    assert answer.freshness is not None
    return {
        'items': [
            {
                'key': item.key,
                'value': None
                if item.value is None
                else base64.b64encode(item.value).decode(),
                'revision': item.revision,
            }
            for item in answer.items
        ],
        'revision': answer.revision,
        'age_s': answer.freshness.staleness_s,
        'held_s': answer.freshness.held_s,
        'silent_s': answer.freshness.since_contact_s,
    }


def _items(data: dict[str, Any]) -> tuple[Item, ...]:
    return tuple(
        Item(
            entry['key'],
            None if entry['value'] is None else base64.b64decode(entry['value']),
            entry['revision'],
        )
        for entry in data['items']
    )


def _proof(data: dict[str, Any]) -> Freshness:
    return Freshness(data['age_s'], data['held_s'], data['silent_s'])
