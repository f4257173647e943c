"""Decides when a host may claim a duty and how long its permission to act lasts."""

from __future__ import annotations

from typing import NamedTuple


class Permission(NamedTuple):
    """The permission of a duty's holder to act.

    ``fence`` increases whenever the holder changes. ``valid_until`` is a time on the
    monotonic clock, by which a call must have ended.
    """

    fence: int
    valid_until: float
