"""Count of the grants in use, including those of silent and ended hosts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.policy.leases import CeilingKey

# Time until upstreams notice that the connections of an ended process are closed.
CONNECTION_CLOSE_S = 0.25


class Holding(NamedTuple):
    """Describes a grant in use, or on its way to the host that requested it.

    ``charged`` is the number of tokens charged to the upstream's limit on tokens per
    second. Times are in seconds on the dispatcher's monotonic clock.
    """

    host: str
    upstream: str
    request_class: str
    workspace: str
    sequence: int
    since: float
    charged: float = 0.0
    preempted_at: float | None = None


class _Reservation(NamedTuple):
    since: float
    counts: Counter[str]


class HoldingTracker:
    """Counts the grants of each host that may be in use.

    Capacity is reserved for grants that a silent host may still hold. Grants of an
    ended process count until the upstreams have seen its connections close.
    """

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}
        self._grant_counts: Counter[CeilingKey] = Counter()
        self._counts_by_upstream: Counter[str] = Counter()
        self._reservations: dict[str, _Reservation] = {}
        self._closing: list[tuple[float, Counter[str]]] = []

    def __iter__(self) -> Iterator[tuple[str, Holding]]:
        return iter(list(self._holdings.items()))

    def get(self, key: str) -> Holding | None:
        """Return the grant of a request, or ``None``.

        :param key: key of the request
        """
        return self._holdings.get(key)

    def by_host(self, host: str) -> list[tuple[str, Holding]]:
        """Return the grants that a host holds, with their keys.

        :param host: name of the host
        """
        return [(key, entry) for key, entry in self if entry.host == host]

    def hosts(self) -> set[str]:
        """Return the hosts that hold or may hold grants."""
        holders = {entry.host for entry in self._holdings.values()}
        return holders | set(self._reservations)

    def grant_counts(self) -> Counter[CeilingKey]:
        """Return the number of grants held, by host and upstream."""
        return self._grant_counts

    def in_use(self, upstream: str) -> int:
        """Return the maximum number of calls that an upstream may be serving now.

        :param upstream: name of the upstream
        """
        reserved = sum(entry.counts[upstream] for entry in self._reservations.values())
        closing = sum(counts[upstream] for _, counts in self._closing)
        return self._counts_by_upstream[upstream] + reserved + closing

    def reserved(self) -> dict[str, Counter[str]]:
        """Return the number of grants that each silent host may hold, by upstream."""
        return {host: entry.counts for host, entry in self._reservations.items()}

    def add(self, key: str, holding: Holding) -> None:
        """Start counting a grant.

        :param key: key of the request, which is not counted yet
        :param holding: grant to count
        """
        self._holdings[key] = holding
        self._grant_counts[holding.host, holding.upstream] += 1
        self._counts_by_upstream[holding.upstream] += 1

    def update(self, key: str, **changes: object) -> Holding:
        """Replace fields of a grant other than its host and upstream.

        :param key: key of the request
        :returns: the updated grant
        """
        holding = self._holdings[key]._replace(**changes)
        self._holdings[key] = holding
        return holding

    def remove(self, key: str) -> None:
        """Stop counting a grant.

        :param key: key of the request
        """
        holding = self._holdings.pop(key)
        self._grant_counts[holding.host, holding.upstream] -= 1
        self._counts_by_upstream[holding.upstream] -= 1

    def reserve(self, host: str, counts: Counter[str], now: float) -> None:
        """Reserve capacity for the grants that a silent host may hold.

        :param host: name of the host
        :param counts: maximum number of grants by upstream
        :param now: seconds on the monotonic clock
        """
        self._reservations[host] = _Reservation(now, counts)

    def cancel_reservation(self, host: str) -> None:
        """Cancel the reservation for a host that has reported its grants.

        :param host: name of the host
        """
        self._reservations.pop(host, None)

    def drop_host(self, host: str, now: float) -> None:
        """Drop the grants and the reservation of a host whose process has ended.

        They still count for ``CONNECTION_CLOSE_S``, because the upstreams notice the
        end only when the connections close.

        :param host: name of the host
        :param now: seconds on the monotonic clock
        """
        reservation = self._reservations.pop(host, None)
        closing = Counter(reservation.counts) if reservation is not None else Counter()
        for key, holding in self.by_host(host):
            closing[holding.upstream] += 1
            self.remove(key)
        if closing:
            self._closing.append((now + CONNECTION_CLOSE_S, closing))

    def expire(self, longest_run_s: float, now: float) -> None:
        """Stop counting grants that cannot be in use any more.

        :param longest_run_s: seconds after which all calls of a silent host have ended
        :param now: seconds on the monotonic clock
        """
        self._closing = [entry for entry in self._closing if entry[0] > now]
        self._reservations = {
            host: entry
            for host, entry in self._reservations.items()
            if now - entry.since <= longest_run_s
        }
