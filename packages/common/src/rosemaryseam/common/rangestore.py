"""The interface of a key-value store that is read and watched by key prefix."""

from __future__ import annotations

import abc
import base64
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import decoding, require_count, require_list
from rosemaryseam.common.errors import PlatformError, UnreadableError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


class HistoryLostError(PlatformError):
    """Raised when the store has dropped the changes since the requested revision."""


class EraChangedError(HistoryLostError):
    """Raised when the store was restored from a copy since the requested revision."""


class RefusedError(PlatformError):
    """Raised when the store refused a call; nothing was changed."""


class ConflictError(RefusedError):
    """Raised when a key was not at the revision that a write expected.

    :param items: the keys with expected revisions in their current state
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        super().__init__('a key is at another revision than expected')
        self.items = items


class StorePosition(NamedTuple):
    """A revision of the store within an era; positions are ordered.

    A new era begins when the store is restored from an older copy. It loses what was
    written since that copy, and gives out the same revisions and lease ids again.
    """

    era: int
    revision: int


class Lease(NamedTuple):
    """A lease and the era in which it was granted; the id is unique only there."""

    id: int
    era: int


NO_VALUE = b''  # stands for a value that was not sent as bytes; no decoder accepts it


class Item(NamedTuple):
    """A key and its value at a revision; the value of a deleted key is ``None``."""

    key: str
    value: bytes | None
    revision: int


class LeftOutItem(NamedTuple):
    """An item that no reader can use, and why.

    ``name`` is its key as far as it can be shown. ``is_unknown`` is set if it may stand
    for any key, so that a change of it may be any change.
    """

    name: str
    reason: str
    is_unknown: bool


class DecodedItems(NamedTuple):
    """The items of a list, and those that were left out."""

    items: tuple[Item, ...]
    left_out: tuple[LeftOutItem, ...]


def decode_items(
    entries: Any, is_deleted: Callable[[dict[str, Any]], bool]
) -> DecodedItems:
    """Return the items of a JSON list.

    Writers choose keys and values, the store the rest. An item whose value is
    unreadable has :data:`NO_VALUE`. One without a key or a revision is left out, and so
    is one whose key cannot be encoded, as no reader uses such a key.

    :param entries: objects with ``key``, ``value`` in base64 and ``revision``
    :param is_deleted: returns whether an entry is that of a deleted key
    :raises UnreadableError: it is no list
    """
    items, left_out = [], []
    for entry in require_list(entries):
        try:
            with decoding('item'):
                item = _decode_item(entry, is_deleted)
        except UnreadableError as exc:
            left_out.append(LeftOutItem(_show_key(entry), exc.message, True))
            continue
        if _can_be_encoded(item.key):
            items.append(item)
        else:
            name = _show_key(entry)
            left_out.append(LeftOutItem(name, 'the key cannot be encoded', False))
    return DecodedItems(tuple(items), tuple(left_out))


def _show_key(entry: Any) -> str:
    key = entry.get('key') if isinstance(entry, dict) else None
    return ascii(key) if isinstance(key, str) else 'no key'


def _decode_item(entry: Any, is_deleted: Callable[[dict[str, Any]], bool]) -> Item:
    key, revision = entry['key'], require_count(entry['revision'])
    if not isinstance(key, str):
        raise UnreadableError('the key is no text')
    if is_deleted(entry):
        return Item(key, None, revision)
    try:
        with decoding('value'):
            value = base64.b64decode(entry['value'], validate=True)
    except UnreadableError:
        value = NO_VALUE
    return Item(key, value, revision)


def _can_be_encoded(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


class Freshness(NamedTuple):
    """Bound on the staleness of an answer that another host relayed.

    ``staleness_s`` is the time since the relaying host last knew that it missed no
    change, ``held_s`` the time for which it held the call before it answered, and
    ``since_contact_s`` the time since the store last answered it.
    """

    staleness_s: float
    held_s: float
    since_contact_s: float


class Snapshot(NamedTuple):
    """The items below a prefix.

    ``position`` is the store's position when the first page was read, so that a watch
    from there misses no change. ``freshness`` is ``None`` for an answer of the store
    itself.
    """

    items: tuple[Item, ...]
    position: StorePosition
    freshness: Freshness | None = None
    left_out: tuple[LeftOutItem, ...] = ()


class Changes(NamedTuple):
    """The changes of keys below a prefix up to a position."""

    items: tuple[Item, ...]
    position: StorePosition
    freshness: Freshness | None = None
    left_out: tuple[LeftOutItem, ...] = ()


class KeyState(NamedTuple):
    """The state of one key; ``item`` is ``None`` if the key does not exist.

    ``created`` is the revision at which the key was created, ``lease`` the id of its
    lease, 0 without one. ``era`` is the era of the answer.
    """

    item: Item | None
    created: int
    lease: int
    era: int


class Expected(NamedTuple):
    """The revision at which a key must be; 0 if it must not exist."""

    key: str
    revision: int


class Write(NamedTuple):
    """A value to write; with ``lease`` 0 it stays until it is removed."""

    key: str
    value: bytes
    lease: int = 0


class RangeStore(abc.ABC):
    """A store with prefix reads, watches and leases, as the router uses it."""

    @abc.abstractmethod
    def read_range(self, prefix: str) -> Snapshot:
        """Return all items below a prefix.

        :param prefix: prefix of their keys
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def watch_range(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Wait for changes below a prefix.

        :param prefix: prefix of the keys
        :param after: the position up to which changes are known
        :param wait_s: seconds for which the store holds the call when nothing changes
        :raises HistoryLostError: the store has dropped the changes since then, or one
            of them names no key
        :raises EraChangedError: the store was restored since then
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease.

        :param ttl_s: seconds after which the lease expires without renewal
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease and return whether it was still valid in its era.

        :param lease: lease to renew
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def read_key(self, key: str) -> KeyState:
        """Return the state of one key.

        :param key: the key
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes its keys. Ids are reused in a later era.

        :param lease: lease to end
        :raises PlatformError: the store did not answer, or refused
        """

    @abc.abstractmethod
    def write(
        self,
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        expected: Sequence[Expected] = (),
    ) -> StorePosition:
        """Write and remove keys atomically and return the position of the change.

        :param writes: values to write
        :param removals: keys to remove
        :param expected: revisions at which keys must be
        :raises ConflictError: a key was at another revision; nothing was changed
        :raises RefusedError: nothing was changed, also if a lease does not exist
        :raises UnknownOutcomeError: the writes may have taken effect, or may do later
        """
