"""A copy of the store's items that a host serves to other hosts over HTTP."""

from __future__ import annotations

import base64
import json
import math
import time
import zlib
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

import falcon
from gevent.event import Event

from rosemaryseam.common.decoding import (
    decode_json,
    decoding,
    readable,
    require_count,
    require_number,
    require_object,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.exchange import call
from rosemaryseam.common.rangestore import (
    Changes,
    EraChangedError,
    Freshness,
    HistoryLostError,
    Item,
    RefusedError,
    Snapshot,
    StorePosition,
    decode_items,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.exchange import Answer

_Answer = TypeVar('_Answer', Snapshot, Changes)

MAX_KEPT_CHANGES = 4096  # latest changes, for watches that start at an older revision
MAX_WAIT_MS = 30_000  # longest wait of one watch for a change
MAX_ANSWER_BYTES = 33_554_432  # after decompression
PATH = '/mirror'
ERA_HEADER = 'X-Mirror-Era'  # era of a mirror that lacks the requested changes


class Mirror:
    """Holds all items that this host follows, and their latest changes.

    :param staleness_s: returns the seconds since no change was missing
    :param since_contact_s: returns the seconds since the store last answered
    :param is_urgent: returns whether a change of a key ends watches; other changes
        come with the next urgent one or at the end of a watch
    """

    def __init__(
        self,
        staleness_s: Callable[[], float],
        since_contact_s: Callable[[], float],
        is_urgent: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._staleness_s = staleness_s
        self._since_contact_s = since_contact_s
        self._is_urgent = is_urgent
        self.last_read_at = -math.inf  # when another host last read from here
        self._items: dict[str, Item] = {}
        self._changes: deque[Item] = deque(maxlen=MAX_KEPT_CHANGES)
        self._compacted_revision = 0  # changes up to this revision are dropped
        self._changed = Event()
        self.position = StorePosition(0, 0)

    def load(self, snapshot: Snapshot) -> None:
        """Replace all items by those of a snapshot, also when it is of another era.

        :param snapshot: all items at a position
        """
        self._items = {item.key: item for item in snapshot.items}
        self._changes.clear()
        self.position = snapshot.position
        self._compacted_revision = snapshot.position.revision
        self._notify()

    def extend(self, changes: Changes) -> None:
        """Apply changes.

        :param changes: changes since the mirror's position, of the same era
        """
        for item in changes.items:
            if len(self._changes) == MAX_KEPT_CHANGES:
                self._compacted_revision = self._changes[0].revision
            self._changes.append(item)
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self.position = max(self.position, changes.position)
        if self._have_urgent(changes.items):
            self._notify()

    def snapshot(self) -> Snapshot:
        """Return all items."""
        self.last_read_at = time.monotonic()
        freshness = Freshness(self._staleness_s(), 0.0, self._since_contact_s())
        return Snapshot(tuple(self._items.values()), self.position, freshness)

    def wait(self, after: StorePosition, wait_s: float) -> Changes:
        """Return the changes after a position, as soon as there is an urgent one.

        :param after: the position up to which changes are known
        :param wait_s: timeout in seconds when there are none
        :raises HistoryLostError: the mirror doesn't hold the changes since then
        """
        started = self.last_read_at = time.monotonic()
        self._check_position(after)
        if not self._have_urgent(self._changes_after(after.revision)):
            self._changed.wait(wait_s)
            self._check_position(after)
        held_s = time.monotonic() - started
        freshness = Freshness(self._staleness_s(), held_s, self._since_contact_s())
        items = tuple(self._changes_after(after.revision))
        return Changes(items, self.position, freshness)

    def _check_position(self, position: StorePosition) -> None:
        oldest = StorePosition(self.position.era, self._compacted_revision)
        if not oldest <= position <= self.position:
            raise HistoryLostError(
                'position is outside the range that the mirror holds'
            )

    def _changes_after(self, revision: int) -> list[Item]:
        return [item for item in self._changes if item.revision > revision]

    def _have_urgent(self, items: Iterable[Item]) -> bool:
        return any(self._is_urgent(item.key) for item in items)

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
        """Send all items, or the changes after a position."""
        if not self._mirror.position.revision:
            raise falcon.HTTPServiceUnavailable()
        after = req.get_param_as_int('after')
        try:
            if after is None:
                answer: Snapshot | Changes = self._mirror.snapshot()
            else:
                era = req.get_param_as_int('era') or 0
                wait_ms = req.get_param_as_int('wait_ms', max_value=MAX_WAIT_MS) or 0
                position = StorePosition(era, after)
                answer = self._mirror.wait(position, wait_ms / 1000)
        except HistoryLostError:
            headers = {ERA_HEADER: str(self._mirror.position.era)}
            raise falcon.HTTPGone(headers=headers) from None
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
    return _decode(address, data, Snapshot)


def watch_mirror(
    address: Address, after: StorePosition, wait_s: float, timeout_s: float
) -> Changes:
    """Wait for changes at another host's mirror.

    :param address: address of the mirror's server
    :param after: the position up to which changes are known
    :param wait_s: seconds for which the host holds the call when nothing changes
    :param timeout_s: deadline of the call in seconds, added to ``wait_s``
    :raises HistoryLostError: the mirror doesn't hold the changes since then
    :raises EraChangedError: the mirror is of a later era
    :raises PlatformError: the host did not answer
    """
    path = f'{PATH}?era={after.era}&after={after.revision}&wait_ms={int(wait_s * 1000)}'
    data = _get(address, path, wait_s + timeout_s, after.era)
    changes = _decode(address, data, Changes)
    if changes.position < after:
        raise PlatformError(f'mirror at {address}: answered from an earlier position')
    return changes


def _get(
    address: Address, path: str, timeout_s: float, era: int | None = None
) -> bytes:
    try:
        answer = call(address, 'GET', path, timeout_s=timeout_s)
        if answer.status == HTTPStatus.GONE:
            raise _history_lost(answer, era)
        if answer.status != HTTPStatus.OK:
            raise RefusedError(f'mirror answered with HTTP status {answer.status}')
    except OSError as exc:
        raise PlatformError(f'mirror at {address}: {exc}') from exc
    return answer.body


def _history_lost(answer: Answer, era: int | None) -> HistoryLostError:
    """Return the error for an answer of a mirror that lacks the requested changes."""
    name = ERA_HEADER.lower()
    values = [value for key, value in answer.headers if key.lower() == name]
    if era is not None and any(later > era for later in readable(values, int)):
        return EraChangedError('the mirror is of a later era')
    return HistoryLostError('position is outside the range that the mirror holds')


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
        'era': answer.position.era,
        'revision': answer.position.revision,
        'age_s': answer.freshness.staleness_s,
        'held_s': answer.freshness.held_s,
        'silent_s': answer.freshness.since_contact_s,
    }


def _decode(address: Address, body: bytes, kind: type[_Answer]) -> _Answer:
    try:
        with decoding(f'mirror at {address}'):
            data = require_object(decode_json(_decompress(body)))
            items, left_out = decode_items(data['items'], _is_deleted)
            if any(one.is_unknown for one in left_out):
                raise UnreadableError('an item has no key or no revision')
            position = StorePosition(
                require_count(data['era']), require_count(data['revision'])
            )
            return kind(items, position, _decode_freshness(data), left_out)
    except UnreadableError as exc:
        raise PlatformError(exc.message) from exc


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_ANSWER_BYTES)
    if not decompressor.eof:
        raise ValueError('the answer is cut short or too long')
    return data


def _is_deleted(entry: dict[str, Any]) -> bool:
    return entry.get('value', '') is None


def _decode_freshness(data: dict[str, Any]) -> Freshness:
    return Freshness(
        require_number(data['age_s']),
        require_number(data['held_s']),
        require_number(data['silent_s']),
    )
