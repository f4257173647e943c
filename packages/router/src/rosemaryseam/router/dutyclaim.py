"""The key by which a host claims a duty in the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import (
    decode_json,
    decoding,
    require_count,
    require_text,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.rangestore import (
    ConflictError,
    Expected,
    Item,
    RefusedError,
    Write,
)
from rosemaryseam.policy.dutylease import fence_token

if TYPE_CHECKING:
    from rosemaryseam.common.rangestore import KeyState, Lease, RangeStore


class Tenure(NamedTuple):
    """A duty that this host holds; ``renewed_at`` is when the renewal was sent."""

    lease: Lease
    revision: int
    renewed_at: float

    @property
    def fence(self) -> int:
        """The fence token of the claim."""
        return fence_token(self.lease.era, self.revision)


class PendingClaim(NamedTuple):
    """A claim whose outcome is not known; ``sent_at`` is when its lease was granted."""

    write: Write
    lease: Lease
    sent_at: float


class DutyKey:
    """Claims, checks and removes the key of a duty.

    :param name: name of the key
    :param host: address of this host
    :param incarnation: number of this process, different for each start
    :param store: store that holds the key
    """

    def __init__(
        self, name: str, host: str, incarnation: int, store: RangeStore
    ) -> None:
        self.name = name
        self._host = host
        self._incarnation = incarnation
        self._store = store

    def build_claim(self, number: int, lease: Lease) -> Write:
        """Return the write of a claim.

        :param number: number of the claim in this process
        :param lease: lease that removes the key when this process is silent
        """
        owner = {
            'host': self._host,
            'incarnation': self._incarnation,
            'claim': number,
        }
        return Write(self.name, json.dumps(owner).encode(), lease.id)

    def send_claim(self, claim: Write, lease: Lease) -> Item | None:
        """Send a claim and return the key's item, ``None`` if it is not known.

        :param claim: write of the claim
        :param lease: lease of the claim
        :raises RefusedError: the store refused the claim
        """
        try:
            position = self._store.write((claim,), (), (Expected(self.name, 0),))
            item, era = Item(self.name, claim.value, position.revision), position.era
        except (ConflictError, PlatformError) as exc:
            if isinstance(exc, RefusedError) and not isinstance(exc, ConflictError):
                raise
            # The answer was lost, or the key exists, perhaps by an earlier sending.
            try:
                state = self._store.read_key(self.name)
            except PlatformError:
                return None
            if state.item is None or state.item.value != claim.value:
                return state.item
            item, era = state.item._replace(revision=state.created), state.era
        if era != lease.era:
            # The lease of this number belongs to another host since the restoration.
            self.remove(item.revision)
            raise RefusedError('the store was restored during the claim') from None
        return item

    def remove(self, revision: int) -> None:
        """Remove the key if it is at a revision.

        :param revision: revision of the claim
        """
        self._store.write((), (self.name,), (Expected(self.name, revision),))

    def is_of_this_process(self, item: Item) -> bool:
        """Return whether this process wrote an item.

        :param item: item of the key
        """
        return read_owner(item).get('incarnation') == self._incarnation

    def is_own(self, state: KeyState, tenure: Tenure) -> bool:
        """Return whether the key is still the one of a claim.

        :param state: state of the key
        :param tenure: the claim
        """
        return (
            state.item is not None
            and state.created == tenure.revision
            and state.era == tenure.lease.era
            and self.is_of_this_process(state.item)
        )


def decode_owner(value: bytes) -> dict[str, Any]:
    """Return host and incarnation of a duty's holder.

    :param value: value of the key
    :raises UnreadableError: it names no holder
    """
    with decoding('duty'):
        data = decode_json(value)
        return {
            'host': require_text(data['host']),
            'incarnation': require_count(data['incarnation']),
        }


def read_owner(item: Item | None) -> dict[str, Any]:
    """Return host and incarnation of a duty's holder, empty if they cannot be read.

    :param item: item of the key
    """
    if item is None or item.value is None:
        return {}
    try:
        return decode_owner(item.value)
    except UnreadableError:
        return {}
