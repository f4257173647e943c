"""Orders the upstreams of services, as the holder of the duty to do so."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.fairness import run_repeatedly
from rosemaryseam.policy.demandtrend import DemandTrend, EngineRates
from rosemaryseam.policy.rates import TokenBucket
from rosemaryseam.policy.upstreamorders import Line, UpstreamOrders
from rosemaryseam.policy.upstreamtargets import OrderLimits
from rosemaryseam.router.demandcounts import KIND, DemandCounts, DemandTable
from rosemaryseam.router.dutyport import DutyResult

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.policy.demandtrend import DemandForecast
    from rosemaryseam.policy.upstreamorders import Order
    from rosemaryseam.router.duties import Duties
    from rosemaryseam.router.dutyholder import DutyHolder
    from rosemaryseam.router.dutyport import DutyPort
    from rosemaryseam.router.feed import StateFeed
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.peers import PeerLink
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.settings import DutySettings
    from rosemaryseam.router.upstreams import Registry, Upstream

DUTY = 'autoscale'
STEP_S = 0.5  # between two decisions
REPORT_S = 1.0  # between two reports of demand to the holder
# Of the calls per second. Twice as many may fall into one second after a pause; the
# rest is for the other duty.
CALL_SHARE = 0.45
REFUSED_PAUSE_S = 1.0  # before an order that was refused for now is sent again
REPORTING_SHARE = 0.5  # of the registered hosts, without which nothing is reduced
MAX_STALENESS_S = 3.0  # of the registrations, from which nothing is decided


def default_rates(service: Service, upstreams: Sequence[Upstream]) -> EngineRates:
    """Return the rates of a service's upstreams before any measurement.

    :param service: service to look up
    :param upstreams: registered upstreams of the service
    """
    if service.engine is not None:
        return EngineRates(batch_slots=service.engine.batch_slots)
    slots = sorted(upstream.slots for upstream in upstreams)
    median = slots[len(slots) // 2] if slots else 1
    return EngineRates(batch_slots=max(1, median), is_engine=False)


class Autoscaler:
    """Reports this host's demand and, as holder, orders upstreams.

    :param host: address of this host
    :param registry: registered upstreams
    :param feed: provides the routing table and the age of the registrations
    :param clock: clock of the process
    :param metrics: counters of the process
    :param rng: source of the number that identifies this process
    :param find_rates: returns the rates of a service's registered upstreams
    """

    def __init__(
        self,
        host: str,
        registry: Registry,
        feed: StateFeed,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        find_rates: Callable[
            [Service, Sequence[Upstream]], EngineRates
        ] = default_rates,
    ) -> None:
        self._host = host
        self._registry = registry
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._find_rates = find_rates
        self._incarnation = rng.getrandbits(31)
        self._number = 0
        self.counts = DemandCounts(clock)
        self.table = DemandTable(clock)
        self._link: HostLink | None = None
        self._holder: DutyHolder | None = None
        self._port: DutyPort | None = None
        self._bucket: TokenBucket | None = None
        self._trends: dict[str, DemandTrend] = {}
        self._orders: dict[str, UpstreamOrders] = {}
        self._fence: int | None = None
        self._adopted_at = 0.0
        self._paused_until = 0.0
        self._reported_at = -REPORT_S
        self._billed_at: float | None = None
        self._billed: dict[tuple[str, bool], float] = {}

    def connect(
        self, link: HostLink, holder: DutyHolder, port: DutyPort, calls_per_s: float
    ) -> None:
        """Set what connects this host to the other hosts and to the platform.

        :param link: link to the other hosts
        :param holder: ownership of the duty
        :param port: API that takes the orders
        :param calls_per_s: calls that the API accepts per second from all hosts
        """
        self._link, self._holder, self._port = link, holder, port
        self._bucket = TokenBucket(calls_per_s * CALL_SHARE, self._clock.monotonic())
        self._metrics.gauge('upstreams_wanted', self._count_wanted)
        self._metrics.gauge('upstreams_ordered', self._count_ordered)

    def start(
        self, duties: Duties, peers: PeerLink, cfg: DutySettings | None
    ) -> list[gevent.Greenlet]:
        """Start to report and to decide, if upstreams are ordered.

        :param duties: duties of this host
        :param peers: link to the other hosts
        :param cfg: settings of the duties
        """
        if cfg is None or not duties.has(DUTY):
            return []
        peers.subscribe(KIND, self.table.receive)
        self.connect(peers, *duties.add_holder(DUTY), cfg.calls_per_s)
        return [gevent.spawn(run_repeatedly, DUTY, self.step, self._metrics)]

    def step(self) -> None:
        """Wait, report the demand if that is due, and decide as holder."""
        gevent.sleep(STEP_S)
        self.report()
        self.decide()

    def report(self) -> None:
        """Report the demand of the last second to the holder and the first candidate.

        The candidate can go on with the demand of the last seconds if the holder fails.
        """
        now = self._clock.monotonic()
        if self._link is None or now - self._reported_at < REPORT_S:
            return
        self._reported_at = now
        services = self.counts.take()
        self._number += 1
        body = {
            'incarnation': self._incarnation,
            'number': self._number,
            'services': services,
        }
        for host in self._receivers():
            if host == self._host:
                self.table.receive(host, body)
            else:
                self._link.send_message(host, KIND, body)

    def decide(self) -> None:
        """Record the demand and, as holder, send the orders that are due."""
        services = self._scaled_services()
        now = self._clock.monotonic()
        if self.table.host_count():
            self._record_demand(services, now)
        permission = self._holder.permission() if self._holder is not None else None
        if permission is None or self._feed.staleness_s() > MAX_STALENESS_S:
            # What was ordered may have changed before this host decides again.
            self._orders.clear()
            self._billed_at = None
            return
        if permission.fence != self._fence:
            self._fence = permission.fence
            self._adopted_at = now
            self._orders.clear()
            log_event('upstream_orders_adopted', fence=permission.fence)
        for service in services:
            forecast = self._forecast(service)
            if forecast is not None:
                self._order(service, forecast)
        self._count_upstream_seconds(services, now)

    def dump(self) -> dict[str, Any]:
        """Return the demand and the orders in force as JSON types."""
        result: dict[str, Any] = {}
        for name, trend in self._trends.items():
            orders = self._orders.get(name)
            forecast = trend.forecast(0.0)
            result[name] = {
                'hosts': self.table.host_count(),
                'demand': None if forecast is None else _rounded(forecast),
                'in_force': {} if orders is None else _by_name(orders.in_force()),
                'targets': None
                if orders is None or orders.targets is None
                else orders.targets._asdict() | {'reasons': None},
            }
        return result

    # Demand.

    def _record_demand(self, services: Iterable[Service], now: float) -> None:
        for service in services:
            trend = self._trends.setdefault(service.name, DemandTrend())
            demand = self.table.demand(service.name)
            upstreams = self._registry.usable(service.name)
            trend.add(demand, self._find_rates(service, upstreams), now)

    def _forecast(self, service: Service) -> DemandForecast | None:
        """Return the expected demand, without a history if many hosts are silent.

        A holder that is partitioned from the other hosts must not take their demand for
        gone. Crashed hosts are registered for minutes, so not all have to report.
        """
        trend = self._trends.get(service.name)
        assert service.scaling is not None
        assert self._link is not None
        forecast = None if trend is None else trend.forecast(service.scaling.boot_s)
        hosts = 1 + len(self._link.known_hosts())
        if forecast is not None and self.table.host_count() < hosts * REPORTING_SHARE:
            return forecast._replace(history_s=0.0)
        return forecast

    def _receivers(self) -> set[str]:
        assert self._holder is not None
        first, holder = self._holder.candidates()[0], self._holder.holder()
        return {first} if holder is None else {first, holder}

    def _scaled_services(self) -> list[Service]:
        table = self._feed.table
        services = () if table is None else table.services.values()
        scaled = [service for service in services if service.scaling is not None]
        for known in (self._trends, self._orders):
            for name in known.keys() - {service.name for service in scaled}:
                del known[name]
        return scaled

    # Orders.

    def _order(self, service: Service, forecast: DemandForecast) -> None:
        """Send the orders for a service; stop at the first that is refused."""
        registered = self._registered(service)
        orders = self._orders.get(service.name)
        if orders is None:
            adopted_s = self._clock.monotonic() - self._adopted_at
            if not registered and adopted_s < service.scaling.boot_s:
                return  # what an earlier holder ordered may be starting
            orders = UpstreamOrders(_limits(service))
            self._orders[service.name] = orders
        orders.limits = _limits(service)
        planned = orders.plan(forecast, registered, self._clock.monotonic())
        for line, event in orders.events:
            log_event(f'upstreams_{event}', service=service.name, **line._asdict())
        for order in planned:
            if not self._send(service, orders, order, forecast):
                break

    def _send(
        self,
        service: Service,
        orders: UpstreamOrders,
        order: Order,
        forecast: DemandForecast,
    ) -> bool:
        """Send an order; return whether the next one may be sent."""
        assert self._holder is not None
        assert self._port is not None
        assert self._bucket is not None
        now = self._clock.monotonic()
        permission = self._holder.permission()
        if permission is None or permission.fence != self._fence:
            return False
        if now < self._paused_until or not self._bucket.is_open(now):
            return False
        self._bucket.charge(1.0, now)
        line = order.line
        result = self._port.order_upstreams(
            service.name, line.zone, order.count, line.spot, permission
        )
        now = self._clock.monotonic()
        if result is DutyResult.ACCEPTED:
            orders.record_accepted(order, now)
        elif result is DutyResult.NONE_AVAILABLE:
            orders.record_unavailable(order, now)
        else:
            self._paused_until = now + REFUSED_PAUSE_S
            if result is DutyResult.UNKNOWN:
                orders.record_unknown(order, now)
        kind = _kind(line.spot)
        self._metrics.count('upstream_orders', kind=kind, result=result.value)
        targets = orders.targets
        log_event(
            'upstreams_ordered',
            service=service.name,
            zone=line.zone,
            spot=line.spot,
            count=order.count,
            previous=order.previous,
            reason=order.reason,
            result=result.value,
            fence=permission.fence,
            needed=None if targets is None else targets.needed,
            reserve=None if targets is None else targets.reserve,
            **_rounded(forecast),
        )
        return result in (DutyResult.ACCEPTED, DutyResult.NONE_AVAILABLE)

    def _registered(self, service: Service) -> Counter[Line]:
        return Counter(
            Line(upstream.zone, upstream.spot)
            for upstream in self._registry.usable(service.name)
        )

    def _count_upstream_seconds(self, services: Iterable[Service], now: float) -> None:
        """Add the time since the last decision to the upstream seconds."""
        elapsed_s = 0.0 if self._billed_at is None else now - self._billed_at
        self._billed_at = now
        for service in services:
            for line, count in self._registered(service).items():
                key = (service.name, line.spot)
                # Metrics are whole numbers; the rest is counted later.
                seconds = self._billed.get(key, 0.0) + count * elapsed_s
                whole = int(seconds)
                self._billed[key] = seconds - whole
                self._metrics.count(
                    'upstream_seconds',
                    whole,
                    service=service.name,
                    kind=_kind(line.spot),
                )

    def _count_wanted(self) -> float:
        return float(
            sum(
                sum(orders.targets.ordinary.values())
                + sum(orders.targets.spot.values())
                for orders in self._orders.values()
                if orders.targets is not None
            )
        )

    def _count_ordered(self) -> float:
        return float(
            sum(sum(orders.in_force().values()) for orders in self._orders.values())
        )


def _limits(service: Service) -> OrderLimits:
    assert service.scaling is not None
    return OrderLimits(*service.scaling)


def _kind(spot: bool) -> str:
    return 'spot' if spot else 'ordinary'


def _rounded(forecast: DemandForecast) -> dict[str, float]:
    values = forecast._asdict()
    del values['samples']
    return {name: round(value, 2) for name, value in values.items()}


def _by_name(numbers: dict[Line, int]) -> dict[str, int]:
    return {f'{line.zone} {_kind(line.spot)}': count for line, count in numbers.items()}
