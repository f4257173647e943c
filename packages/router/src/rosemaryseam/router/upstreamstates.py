"""Tracked states of upstreams and the requests in flight on them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosemaryseam.policy.engines import (
    EngineCapacity,
    EnginePerformance,
    EngineView,
    InFlightRequest,
    RequestKey,
)
from rosemaryseam.policy.outliers import OutlierDetector
from rosemaryseam.policy.prefixes import EngineCache
from rosemaryseam.router.learnedcapacity import LearnedCapacities

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.learnedcapacity import UpstreamCapacity
    from rosemaryseam.router.queries import InFlightReport
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Upstream

EJECTED_LOSS = 50.0  # for an ejected upstream, which fails to answer while others do
FAILURE_LOSS = 4.0  # for an upstream that always fails while others never do


class UpstreamState:
    """Holds the tracked state of one incarnation of an upstream."""

    def __init__(
        self, upstream: Upstream, capacity: EngineCapacity, learned: UpstreamCapacity
    ) -> None:
        self.upstream = upstream
        self.learned = learned
        self.view = EngineView(
            capacity, EnginePerformance(), learned.engine, learned.chunks
        )
        self.cache = EngineCache(capacity.cache_tokens)
        # Number and time of the latest request with a prompt, of those placed here.
        self.used = (0, -math.inf)


class UpstreamStates:
    """Holds the states of all upstreams and finds those of requests in flight.

    :param clock: clock of the process
    :param find_service: returns a service by name, or ``None`` if it is unknown
    """

    def __init__(
        self, clock: Clock, find_service: Callable[[str], Service | None]
    ) -> None:
        self.clock = clock
        self._find_service = find_service
        self.upstreams: dict[str, Upstream] = {}
        self.outliers = OutlierDetector()
        self.learned = LearnedCapacities(clock)
        self._states: dict[str, UpstreamState] = {}
        self._request_upstreams: dict[str, dict[int, str]] = {}

    def get(self, upstream: Upstream) -> UpstreamState:
        """Return the state of an upstream, a new one for a new incarnation.

        :param upstream: incarnation of the upstream
        """
        state = self._states.get(upstream.id)
        if state is None or state.upstream != upstream:
            capacity = self.capacity(upstream)
            learned = self.learned.get(upstream, capacity.batch_slots)
            state = UpstreamState(upstream, capacity, learned)
            self._states[upstream.id] = state
        return state

    def known(self) -> dict[str, UpstreamState]:
        """Return the states by the id of their upstream."""
        return self._states

    def capacity(self, upstream: Upstream) -> EngineCapacity:
        """Return the configured capacity of an upstream.

        :param upstream: incarnation of the upstream
        """
        service = self._find_service(upstream.service)
        engine = None if service is None else service.engine
        if engine is None:
            return EngineCapacity(max(1, upstream.slots), 0, 1)
        return EngineCapacity(
            engine.batch_slots, engine.cache_tokens, engine.tokens_per_event
        )

    def shares_cache(self, service_name: str) -> bool:
        """Return whether engines of a service copy cached parts from one another.

        :param service_name: name of the service
        """
        service = self._find_service(service_name)
        engine = service.engine if service is not None else None
        return engine is not None and engine.shares_cache

    def failure_loss(self, name: str, median_failure_rate: float, now: float) -> float:
        """Return the loss by the failures of an upstream.

        :param name: id of the upstream
        :param median_failure_rate: median of the upstreams that may get the request
        :param now: seconds on the monotonic clock
        """
        loss = FAILURE_LOSS * self.outliers.excess_failure_rate(
            name, median_failure_rate, now
        )
        if self.outliers.is_ejected(name, now):
            loss += EJECTED_LOSS
        return loss

    def eject(self, name: str, now: float) -> None:
        """Eject an upstream for a while and drop its state.

        :param name: id of the upstream
        :param now: seconds on the monotonic clock
        """
        if not self.outliers.is_ejected(name, now):
            self.outliers.record_unreachable(name, now)
        self._states.pop(name, None)

    def retain(self, upstreams: Iterable[Upstream]) -> None:
        """Drop the state of all upstreams and incarnations except the given ones.

        :param upstreams: upstreams in use
        """
        kept = {upstream.id: upstream for upstream in upstreams}
        self.upstreams = kept
        for name, state in list(self._states.items()):
            if name not in kept or kept[name] != state.upstream:
                del self._states[name]
        self.outliers.retain(kept)
        self.learned.retain(upstream.incarnation for upstream in kept.values())

    # Requests in flight.

    def register(
        self, host: str, report: InFlightReport, now: float
    ) -> InFlightRequest:
        """Register the upstream of a request and return the request for its view.

        :param host: address of the host that forwards the request
        :param report: report of the request
        :param now: seconds on the monotonic clock
        """
        self._request_upstreams.setdefault(host, {})[report.number] = report.upstream
        return InFlightRequest(
            RequestKey(host, report.number),
            report.rank,
            report.prefill_tokens,
            report.memory_tokens,
            report.output_tokens,
            report.pause_s,
            now - report.age_s,
            report.expected_first_s,
            now + report.expires_in_s,
        )

    def is_registered(self, host: str, number: int) -> bool:
        """Return whether a request is in flight.

        :param host: address of the host that forwards the request
        :param number: number of the request on that host
        """
        return number in self._request_upstreams.get(host, {})

    def find(self, host: str, number: int) -> UpstreamState | None:
        """Return the state of a request's upstream.

        :param host: address of the host that forwards the request
        :param number: number of the request on that host
        """
        name = self._request_upstreams.get(host, {}).get(number)
        return None if name is None else self._states.get(name)

    def unregister(self, host: str, number: int) -> str | None:
        """Remove a request that has ended and return the id of its upstream.

        :param host: address of the host that forwarded the request
        :param number: number of the request on that host
        """
        return self._request_upstreams.get(host, {}).pop(number, None)

    def request_numbers(self, host: str) -> list[int]:
        """Return the numbers of a host's requests in flight.

        :param host: address of the host
        """
        return list(self._request_upstreams.get(host, ()))

    def forget_host(self, host: str) -> None:
        """Remove the table of a host's requests.

        :param host: address of the host
        """
        self._request_upstreams.pop(host, None)
