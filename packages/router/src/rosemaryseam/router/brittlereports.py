"""Reports between hosts of upstreams that state that they are brittle."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

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
    :raises ValueError: it is malformed
    """
    upstream, born, limit, age_s, room = (*entry, None)[:5]
    if limit is not None and not 0 <= float(limit) < math.inf:
        raise ValueError('the rejections per second are no rate')
    if not 0 <= float(age_s) < math.inf:
        raise ValueError('the age of a statement is no duration')
    return BrittleReport(
        str(upstream),
        int(born),
        None if limit is None else float(limit),
        float(age_s),
        None if room is None else float(room),
    )
