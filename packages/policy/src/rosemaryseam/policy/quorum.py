"""Majority decisions of the hosts on the roster."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


def has_majority(hosts: Collection[str], roster: Collection[str]) -> bool:
    """Return whether hosts form a majority of the roster.

    Of two equal halves, the one that contains the lowest name is the majority.

    :param hosts: hosts that agree; those not on the roster are ignored
    :param roster: all hosts that may be running
    """
    agreeing = {host for host in hosts if host in roster}
    if 2 * len(agreeing) == len(roster) and roster:
        return min(roster) in agreeing
    return 2 * len(agreeing) > len(roster)
