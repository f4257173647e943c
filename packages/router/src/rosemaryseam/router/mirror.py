"""A copy of the store's items that a host serves to other hosts over HTTP."""

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

MAX_KEPT_CHANGES = 4096  # latest changes, for watches that start at an older revision
MAX_WAIT_MS = 30_000  # longest wait of one watch for a change
PATH = '/mirror'


class Mirror:
    """Holds all items that this host follows, and their latest changes.

    :param staleness_s: returns the seconds since no change was missing
    :param since_contact_s: returns the seconds since the store last answered
    """

    def __init__(
        self, staleness_s: Callable[[], float], since_contact_s: Callable[[], float]
    ) -> None:
        self._staleness_s = staleness_s
        self._since_contact_s = since_contact_s
        self.last_read_at = -math.inf  # when another host last read from here
        self._items: dict[str, Item] = {}
        self._changes: deque[Item] = deque(maxlen=MAX_KEPT_CHANGES)
        self._compacted_revision = 0  # changes up to this revision are dropped
        self._changed = Event()
        self.revision = 0

    def load(self, snapshot: Snapshot) -> None:
        """Replace all items by those of a snapshot.

        :param snapshot: all items at a revision
        """
        self._items = {item.key: item for item in snapshot.items}
        self._changes.clear()
        self._compacted_revision = self.revision = snapshot.revision
        self._notify()

    def extend(self, changes: Changes) -> None:
        """Apply changes.

        :param changes: changes since the mirror's revision
        """
        for item in changes.items:
            if len(self._changes) == MAX_KEPT_CHANGES:
                self._compacted_revision = self._changes[0].revision
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
        self.last_read_at = time.monotonic()
        freshness = Freshness(self._staleness_s(), 0.0, self._since_contact_s())
        return Snapshot(tuple(self._items.values()), self.revision, freshness)

    def wait(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, as soon as there are any.

        :param after: the revision up to which changes are known
        :param wait_s: timeout in seconds when there are none
        :raises HistoryLostError: the mirror doesn't hold the changes since then
        """
        started = self.last_read_at = time.monotonic()
        self._check_revision(after)
        if not self._changes_after(after):
            self._changed.wait(wait_s)
            self._check_revision(after)
        held_s = time.monotonic() - started
        freshness = Freshness(self._staleness_s(), held_s, self._since_contact_s())
        return Changes(tuple(self._changes_after(after)), self.revision, freshness)

    def _check_revision(self, revision: int) -> None:
        if not self._compacted_revision <= revision <= self.revision:
            raise HistoryLostError(
                'revision is outside the range that the mirror holds'
            )

    def _changes_after(self, revision: int) -> list[Item]:
        return [item for item in self._changes if item.revision > revision]

    def _notify(self) -> None:
        self._changed.set()
        self._changed.clear()


class MirrorResource:
    """Serves a mirror as JSON, compressed by zlib.

    :param mirror: mirror of this host
    """

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Send all items, or the changes after a revision."""
        if not self._mirror.revision:
            raise falcon.HTTPServiceUnavailable()
        after = req.get_param_as_int('after')
        try:
            if after is None:
                answer: Snapshot | Changes = self._mirror.snapshot()
            else:
                wait_ms = req.get_param_as_int('wait_ms', max_value=MAX_WAIT_MS) or 0
                answer = self._mirror.wait(after, wait_ms / 1000)
        except HistoryLostError:
            raise falcon.HTTPGone() from None
        resp.content_type = falcon.MEDIA_JSON
        resp.data = zlib.compress(json.dumps(_encode(answer)).encode(), 1)


def build_mirror_app(mirror: Mirror) -> falcon.App:
    """Return the WSGI application that serves a mirror.

    :param mirror: mirror of this host
    """
    application = falcon.App()
    application.add_route(PATH, MirrorResource(mirror))
    return application


def read_mirror(address: Address, timeout_s: float) -> Snapshot:
    """Read all items from another host's mirror.

    :param address: address of the mirror's server
    :param timeout_s: deadline of the call in seconds
    :raises PlatformError: the host did not answer, or has no items yet
    """
    data = _get(address, PATH, timeout_s)
    return Snapshot(_decode_items(data), data['revision'], _decode_freshness(data))


def watch_mirror(
    address: Address, after: int, wait_s: float, timeout_s: float
) -> Changes:
    """Wait for changes at another host's mirror.

    :param address: address of the mirror's server
    :param after: the revision up to which changes are known
    :param wait_s: seconds for which the host holds the call when nothing changes
    :param timeout_s: deadline of the call in seconds, added to ``wait_s``
    :raises HistoryLostError: the mirror doesn't hold the changes since then
    :raises PlatformError: the host did not answer
    """
    path = f'{PATH}?after={after}&wait_ms={int(wait_s * 1000)}'
    data = _get(address, path, wait_s + timeout_s)
    return Changes(_decode_items(data), data['revision'], _decode_freshness(data))


def _get(address: Address, path: str, timeout_s: float) -> dict[str, Any]:
    try:
        answer = call(address, 'GET', path, timeout_s=timeout_s)
        if answer.status == 410:
            raise HistoryLostError(
                'revision is outside the range that the mirror holds'
            )
        if answer.status != 200:
            raise RefusedError(f'mirror answered with HTTP status {answer.status}')
        return json.loads(zlib.decompress(answer.body))
    except (OSError, ValueError, zlib.error) as exc:
        raise PlatformError(f'mirror at {address}: {exc}') from exc


def _encode(answer: Snapshot | Changes) -> dict[str, Any]:
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


def _decode_items(data: dict[str, Any]) -> tuple[Item, ...]:
    return tuple(
        Item(
            entry['key'],
            None if entry['value'] is None else base64.b64decode(entry['value']),
            entry['revision'],
        )
        for entry in data['items']
    )


def _decode_freshness(data: dict[str, Any]) -> Freshness:
    return Freshness(data['age_s'], data['held_s'], data['silent_s'])
