"""What hosts tell each other of the requests that they have at upstreams."""

from __future__ import annotations

import pathlib
from typing import NamedTuple

import capnp

from rosemaryseam.common.errors import PeerError

MAX_UPDATE_BYTES = 60_000
MAX_TRAVERSAL_WORDS = 65_536

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peerwire.capnp')))


class Placed(NamedTuple):
    """A request that a host has sent to an upstream.

    ``parts`` are digests and tokens of its prompt. ``age_s`` is how long ago it was
    sent, ``patience_s`` how long its caller waits, ``pause_s`` is 0 without a limit.
    """

    number: int
    upstream: str
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float
    age_s: float
    expected_first_s: float
    patience_s: float
    parts: tuple[tuple[int, int], ...]


class Update(NamedTuple):
    """News of one host: requests sent, answering and ended since the last update.

    In a ``sync`` update ``active`` names all of the host's requests. ``closed`` are
    upstreams that took no connection or fell silent.
    """

    host: str
    incarnation: int
    sync: bool = False
    leaving: bool = False
    placed: tuple[Placed, ...] = ()
    started: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()
    active: tuple[int, ...] = ()
    closed: tuple[str, ...] = ()


def encode_update(update: Update) -> bytes:
    """Return the bytes of an update.

    :param update: the update
    """
    message = _SCHEMA.Update.new_message(
        host=update.host,
        incarnation=update.incarnation,
        sync=update.sync,
        leaving=update.leaving,
        placed=[_plain(entry) for entry in update.placed],
        started=list(update.started),
        ended=list(update.ended),
        active=list(update.active),
        closed=list(update.closed),
    )
    return message.to_bytes_packed()


def decode_update(data: bytes) -> Update:
    """Read an update.

    :param data: as a peer sent it
    :raises PeerError: the bytes are no update
    """
    try:
        message = _SCHEMA.Update.from_bytes_packed(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        return Update(
            message.host,
            message.incarnation,
            message.sync,
            message.leaving,
            tuple(_read_placed(entry) for entry in message.placed),
            tuple(message.started),
            tuple(message.ended),
            tuple(message.active),
            tuple(message.closed),
        )
    except (capnp.KjException, ValueError) as exc:
        raise PeerError(f'unreadable update: {exc}') from exc


def _plain(entry: Placed) -> dict[str, object]:
    return {
        'number': entry.number,
        'upstream': entry.upstream,
        'rank': entry.rank,
        'prefillTokens': entry.prefill_tokens,
        'memoryTokens': entry.memory_tokens,
        'outputTokens': entry.output_tokens,
        'pauseMs': int(entry.pause_s * 1000),
        'ageMs': int(entry.age_s * 1000),
        'expectedFirstMs': int(entry.expected_first_s * 1000),
        'patienceMs': int(entry.patience_s * 1000),
        'parts': [{'digest': digest, 'tokens': size} for digest, size in entry.parts],
    }


def _read_placed(entry: object) -> Placed:
    return Placed(
        entry.number,
        entry.upstream,
        entry.rank,
        entry.prefillTokens,
        entry.memoryTokens,
        entry.outputTokens,
        entry.pauseMs / 1000,
        entry.ageMs / 1000,
        entry.expectedFirstMs / 1000,
        entry.patienceMs / 1000,
        tuple((part.digest, part.tokens) for part in entry.parts),
    )
