"""Grants in use as a dispatcher counts them, silent and ended hosts included."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.policy.leases import CeilingKey

CLOSE_S = 0.25  # for the connections of an ended process to close at upstreams


class Holding(NamedTuple):
    """A grant in use, or on its way to the host that asked.

    ``charged`` counts the tokens charged to the upstream's limit of tokens a second.
    """

    host: str
    upstream: str
    request_class: str
    workspace: str
    sequence: int
    since: float
    charged: float = 0.0
    preempted_at: float | None = None


class _Stranded(NamedTuple):
    since: float
    counts: Counter[str]


class HoldingTracker:
    """Counts what each host holds, may hold, and held until a moment ago."""

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        self._used: Counter[CeilingKey] = Counter()
        self._used_by_upstream: Counter[str] = Counter()
        self._stranded: dict[str, _Stranded] = {}
        self._closing: list[tuple[float, Counter[str]]] = []

    def __iter__(self) -> Iterator[tuple[str, Holding]]:
        return iter(list(self._holdings.items()))

    def get(self, key: str) -> Holding | None:
        """Return a holding by its request's key, or ``None``.

        :param key: the request's key
        """
        return self._holdings.get(key)

    def of(self, host: str) -> list[tuple[str, Holding]]:
        """Return the holdings of a host with their keys.

        :param host: the host
        """
        return [(key, entry) for key, entry in self if entry.host == host]

    def hosts(self) -> set[str]:
        """Return the hosts that hold or may hold something."""
        holders = {entry.host for entry in self._holdings.values()}
        return holders | set(self._stranded)

    def used(self) -> Counter[CeilingKey]:
        """Return what is held, by host and upstream."""
        return self._used

    def total(self, upstream: str) -> int:
        """Return calls that an upstream may carry now.

        :param upstream: its name
        """
        stranded = sum(entry.counts[upstream] for entry in self._stranded.values())
        closing = sum(counts[upstream] for _, counts in self._closing)
        return self._used_by_upstream[upstream] + stranded + closing

    def stranded(self) -> dict[str, Counter[str]]:
        """Return what each silent host may hold, by upstream."""
        return {host: entry.counts for host, entry in self._stranded.items()}

    def add(self, key: str, holding: Holding) -> None:
        """Count a grant.

        :param key: the request's key, not counted yet
        :param holding: the grant
        """
        self._holdings[key] = holding
        self._used[holding.host, holding.upstream] += 1
        self._used_by_upstream[holding.upstream] += 1

    def change(self, key: str, **changes: object) -> Holding:
        """Change what is noted of a grant, but not who holds which upstream.

        :param key: the request's key
        :returns: the holding as it is now
        """
        holding = self._holdings[key]._replace(**changes)
        self._holdings[key] = holding
        return holding

    def drop(self, key: str) -> None:
        """Stop counting a grant.

        :param key: the request's key
        """
        holding = self._holdings.pop(key)
        self._used[holding.host, holding.upstream] -= 1
        self._used_by_upstream[holding.upstream] -= 1

    def strand(self, host: str, counts: Counter[str], now: float) -> None:
        """Count what a silent host may hold as held.

        :param host: the host
        :param counts: by upstream
        :param now: seconds on the monotonic clock
        """
        self._stranded[host] = _Stranded(now, counts)

    def unstrand(self, host: str) -> None:
        """Stop counting what a host may hold: it has said what it holds.

        :param host: the host
        """
        self._stranded.pop(host, None)

    def end(self, host: str, now: float) -> None:
        """Drop all that a host held or may have held: its process has ended.

        The upstreams learn of it a little later, when its connections close.

        :param host: the host
        :param now: seconds on the monotonic clock
        """
        stranded = self._stranded.pop(host, None)
        closing = Counter(stranded.counts) if stranded is not None else Counter()
        for key, holding in self.of(host):
            closing[holding.upstream] += 1
            self.drop(key)
        if closing:
            self._closing.append((now + CLOSE_S, closing))

    def expire(self, longest_run_s: float, now: float) -> None:
        """Stop counting what cannot be held any more.

        :param longest_run_s: after which a silent host's calls are over
        :param now: seconds on the monotonic clock
        """
        self._closing = [entry for entry in self._closing if entry[0] > now]
        self._stranded = {
            host: entry
            for host, entry in self._stranded.items()
            if now - entry.since <= longest_run_s
        }
