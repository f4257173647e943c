"""Limits on requests per second that upstreams state in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.rates import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.upstreams import Upstream

MIN_LIMIT = 0.2  # requests per second; only answers can tell that a limit has ended

Incarnation = tuple[str, int]  # id and start of an upstream


class LimitReport(NamedTuple):
    """What an upstream's incarnation stated ``age_s`` seconds ago.

    ``limit`` is in requests per second, ``None`` if it has none any more.
    """

    upstream: str
    born: int
    limit: float | None
    age_s: float


class _Statement(NamedTuple):
    """The latest statement of an upstream; ``limit`` is ``None`` if it has none."""

    limit: float | None
    heard_at: float


class RequestLimits:
    """Keeps the limit that each incarnation of an upstream stated last.

    The dispatcher of an upstream keeps its limit for all hosts, with a token bucket. A
    host that dispatches in its place uses a share of the limit.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._statements: dict[Incarnation, _Statement] = {}
        self._buckets: dict[Incarnation, TokenBucket] = {}

    def get(self, upstream: Incarnation) -> float | None:
        """Return the limit of an upstream in requests per second, or ``None``.

        :param upstream: incarnation of the upstream
        """
        statement = self._statements.get(upstream)
        return None if statement is None else statement.limit

    # Enforcement.

    def open_upstreams(
        self, upstreams: Sequence[Upstream], share: Callable[[], float]
    ) -> list[Upstream]:
        """Return the upstreams whose limits allow a request now.

        :param upstreams: upstreams to check
        :param share: returns the share of the limits that this host may use
        """
        if not self._buckets:
            return list(upstreams)
        now = self._clock.monotonic()
        used_share = share()
        opened = []
        for upstream in upstreams:
            bucket = self._buckets.get(upstream.incarnation)
            if bucket is not None:
                limit = self.get(upstream.incarnation) or 0.0
                bucket.set_rate(max(MIN_LIMIT, limit) * used_share, now)
            if bucket is None or bucket.is_open(now):
                opened.append(upstream)
        return opened

    def opens_in_s(self, upstreams: Iterable[Upstream]) -> float:
        """Return the seconds until the first of some limited upstreams is open.

        :param upstreams: upstreams to check, at least one
        """
        now = self._clock.monotonic()
        return min(
            self._buckets[upstream.incarnation].opens_in_s(now)
            for upstream in upstreams
        )

    def charge(self, upstream: Upstream) -> None:
        """Count a request against the limit of its upstream, if it has one.

        :param upstream: upstream that gets the request
        """
        bucket = self._buckets.get(upstream.incarnation)
        if bucket is not None:
            bucket.charge(1.0, self._clock.monotonic())

    # Statements of upstreams.

    def record_answer(
        self, upstream: Incarnation, limit: float | None, asked_at: float
    ) -> LimitReport | None:
        """Record what an answer says; return a report if it tells something.

        An answer without a limit ends the limit only if it was asked for after the
        limit had been heard, as answers can overtake one another.

        :param upstream: incarnation of the upstream
        :param limit: requests per second, or ``None`` if the answer states no limit
        :param asked_at: monotonic time in seconds at which the request was placed
        """
        known = self._statements.get(upstream)
        if limit is None and (
            known is None or known.limit is None or asked_at < known.heard_at
        ):
            return None
        self._store(upstream, _Statement(limit, self._clock.monotonic()), None)
        return LimitReport(*upstream, limit, 0.0)

    def adopt(self, report: LimitReport, source: str) -> None:
        """Record what another host heard, unless something newer is known.

        :param report: report of that host
        :param source: address of that host
        """
        upstream = (report.upstream, report.born)
        statement = _Statement(report.limit, self._clock.monotonic() - report.age_s)
        known = self._statements.get(upstream)
        if known is None or statement.heard_at > known.heard_at:
            self._store(upstream, statement, source)

    def reports(self, names: Collection[str]) -> list[LimitReport]:
        """Return the limits of some upstreams, for a new dispatcher.

        :param names: ids of the upstreams
        """
        now = self._clock.monotonic()
        return [
            LimitReport(name, born, statement.limit, now - statement.heard_at)
            for (name, born), statement in self._statements.items()
            if name in names and statement.limit is not None
        ]

    def retain(self, upstreams: Iterable[Incarnation]) -> None:
        """Forget the limits of all other incarnations.

        :param upstreams: incarnations still in use
        """
        kept = set(upstreams)
        for upstream in [key for key in self._statements if key not in kept]:
            del self._statements[upstream]
            self._buckets.pop(upstream, None)

    def _store(
        self, upstream: Incarnation, statement: _Statement, source: str | None
    ) -> None:
        previous = self.get(upstream)
        self._statements[upstream] = statement
        if statement.limit is None:
            self._buckets.pop(upstream, None)
        elif upstream not in self._buckets:
            rate = max(MIN_LIMIT, statement.limit)
            self._buckets[upstream] = TokenBucket(rate, self._clock.monotonic())
        if statement.limit != previous:
            name, born = upstream
            log_event(
                'upstream_request_limit',
                upstream=name,
                born=born,
                per_second=statement.limit,
                previous=previous,
                source=source,
            )
