"""Reports between hosts of upstreams that state that they are brittle."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import (
    decoding,
    require_count,
    require_number,
    require_text,
)

if TYPE_CHECKING:
    from collections.abc import Sequence


class BrittleReport(NamedTuple):
    """What an upstream's incarnation stated ``age_s`` seconds ago.

    ``limit`` is the number of rejections per second above which it crashes, ``None`` if
    it is not brittle any more. ``room`` is the number of requests in flight that its
    dispatcher learned, ``None`` if it is not known.
    """

    upstream: str
    born: int
    limit: float | None
    age_s: float
    room: float | None = None


def read_report(entry: Sequence[Any]) -> BrittleReport:
    """Return a report of another host.

    :param entry: fields of the report, of JSON types
    :raises UnreadableError: it is malformed
    """
    with decoding('brittle upstream'):
        upstream, born, limit, age_s, room = (*entry, None)[:5]
        return BrittleReport(
            require_text(upstream),
            require_count(born),
            None if limit is None else require_number(limit),
            require_number(age_s),
            None if room is None else require_number(room),
        )
