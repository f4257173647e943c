"""Reads and writes catalogue revisions in the key-value service."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, NamedTuple

from pydantic import TypeAdapter, ValidationError

from rosemaryseam.common.catalogue import Catalogue, load_catalogue
from rosemaryseam.common.documents import to_json
from rosemaryseam.common.errors import (
    CatalogueError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.keyvalue import KeyValueStore

CATALOGUE_KEY = 'rosemaryseam/catalogue'
MAX_HISTORY_LENGTH = 64  # changes kept with a revision


class Change(NamedTuple):
    """An accepted change, kept so that a writer that got no answer can find its change.

    ``at`` is the time of the change in ISO 8601 format.
    """

    revision: int
    change_id: str
    author: str
    at: str


class Revision(NamedTuple):
    """A revision of the catalogue with its most recent changes, the oldest first."""

    revision: int
    history: tuple[Change, ...]
    text: str

    @property
    def change_id(self) -> str:
        """The id of the change that created this revision."""
        return self.history[-1].change_id


_ADAPTER = TypeAdapter(Revision)


def encode_revision(revision: Revision) -> bytes:
    """Return the stored form of a revision.

    :param revision: the revision
    """
    return to_json(revision)


def decode_revision(data: bytes) -> tuple[Revision, Catalogue]:
    """Parse and check a stored revision.

    :param data: a revision encoded by :func:`encode_revision`
    :raises CatalogueError: the encoding, the history or the catalogue is invalid
    """
    revision = _parse_revision(data)
    if not revision.history or revision.history[-1].revision != revision.revision:
        raise CatalogueError('stored catalogue: history does not match the revision')
    return revision, load_catalogue(revision.text)


def write_revision(
    store: KeyValueStore, clock: Clock, text: str, base: int, author: str
) -> Revision:
    """Check a catalogue and store it as the revision after ``base``.

    :param store: the platform's key-value service
    :param clock: source of the time recorded in the history
    :param text: the new catalogue as a YAML document
    :param base: the revision on which the change is based, 0 for none
    :param author: name of the person or program that makes the change
    :raises CatalogueError: the document is invalid, another change came first, or the
        outcome of the write is unknown
    :raises PlatformError: the service failed and nothing was written
    """
    load_catalogue(text)
    stored = store.get(CATALOGUE_KEY)
    history: tuple[Change, ...] = ()
    if stored is not None:
        history = _parse_revision(stored.value).history
    current = history[-1].revision if history else 0
    if current != base:
        raise _conflict_error(base, history)
    change = Change(base + 1, uuid.uuid4().hex, author, clock.now().isoformat())
    history = (*history, change)[-MAX_HISTORY_LENGTH:]
    revision = Revision(base + 1, history, text)
    index = stored.index if stored is not None else 0
    try:
        written = store.put(CATALOGUE_KEY, encode_revision(revision), index)
    except UnknownOutcomeError:
        written = False
    if not written and not _was_stored(store, change.change_id):
        raise _conflict_error(base, _read_history(store))
    return revision


def read_revision(store: KeyValueStore) -> tuple[Revision, Catalogue] | None:
    """Return the stored revision, or ``None`` when there is none yet.

    :param store: the platform's key-value service
    :raises CatalogueError: the stored document is invalid
    :raises PlatformError: the service did not answer
    """
    stored = store.get(CATALOGUE_KEY)
    return None if stored is None else decode_revision(stored.value)


def _parse_revision(data: bytes) -> Revision:
    try:
        return _ADAPTER.validate_json(data)
    except ValidationError as exc:
        raise CatalogueError(f'stored catalogue: {exc.errors()[0]["msg"]}') from exc


def _was_stored(store: KeyValueStore, change_id: str) -> bool:
    try:
        history = _read_history(store)
    except PlatformError as exc:
        raise CatalogueError(
            f'change {change_id} was sent, and the service does not say whether it '
            'took effect; run "catalogue show" when it answers again',
            ResultCode.CATALOGUE_UNKNOWN_OUTCOME,
        ) from exc
    return any(change.change_id == change_id for change in history)


def _read_history(store: KeyValueStore) -> tuple[Change, ...]:
    stored = store.get(CATALOGUE_KEY)
    if stored is None:
        return ()
    return _parse_revision(stored.value).history


def _conflict_error(base: int, history: tuple[Change, ...]) -> CatalogueError:
    if not history:
        found = 'there is no catalogue yet'
    else:
        last = history[-1]
        found = f'{last.author} stored revision {last.revision} at {last.at}'
    return CatalogueError(
        f'the change was made from revision {base}, but {found}',
        ResultCode.CATALOGUE_CONFLICT,
    )
