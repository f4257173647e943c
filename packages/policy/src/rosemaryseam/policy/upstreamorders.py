"""Decides how many ordinary and spot upstreams to order in each zone, and why."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.upstreamtargets import ZoneSupply, find_targets

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rosemaryseam.policy.demandtrend import DemandForecast
    from rosemaryseam.policy.upstreamtargets import OrderLimits, Targets

UNAVAILABLE_S = 3.0  # without a spot order in a zone that had none
MISSING_S = 10.0  # without counting on upstreams that did not start
BOOT_PATIENCE = 2.5  # times the usual time to start, then an upstream is missing
EXCESS_S = 10.0  # after a reduction; upstreams stop to take requests at once
MIN_HISTORY_S = 12.0  # of demand before a reduction; a wave takes 11 s
INCREASE_HOLD_S = 10.0  # without a reduction of a kind that was increased in its zone
REDUCTION_INTERVAL_S = 3.0  # between two reductions in a zone, which must take effect
SPOT_REDUCTION_INTERVAL_S = 5.0  # they save little
REDUCTION_SHARE = 0.25  # of a zone's upstreams of one kind in one reduction
HOLD_S = 10.0  # for which a lower wanted number must last
FLOOR_RISE = 0.15  # of ordinary upstreams; smaller increases follow every wave
HOLD_SHARE = 0.9  # of the number wanted so far; less is a lower number


class Line(NamedTuple):
    """A zone together with a kind of upstreams."""

    zone: str
    spot: bool


class Order(NamedTuple):
    """An order to send: ``count`` upstreams wanted in place of ``previous`` ones."""

    line: Line
    count: int
    previous: int
    reason: str


class _LineState:
    """What is in force and registered of one kind in one zone.

    :param registered: number of upstreams that are registered
    """

    def __init__(self, registered: int) -> None:
        self.ordered = registered  # as far as it counts as capacity that comes
        self.sent: int | None = None  # the last order of this holder
        self.serving = registered
        self.unconfirmed = False
        self.changed_at = -math.inf
        self.increased_at = -math.inf
        self.reduced_at = -math.inf
        self.blocked_until = -math.inf
        self.short_since: float | None = None
        self.excess_since: float | None = None

    def observe(self, registered: int, patience_s: float, now: float) -> str | None:
        """Record the number of registered upstreams.

        Return what changed without an order: ``lost``, ``missing`` or ``excess``.
        """
        lost = registered < self.serving and registered < self.ordered
        self.serving = registered
        if registered > self.ordered and (self.sent is None or registered <= self.sent):
            # Those that an earlier holder ordered, or late ones.
            self.ordered = registered
        if registered >= self.ordered:
            self.short_since = None
            return self._check_excess(registered, now)
        self.excess_since = None
        if lost:
            # Waiting for them would delay their replacement.
            self.ordered = registered
            self.unconfirmed = True
            self.short_since = None
            return 'lost'
        if self.short_since is None:
            self.short_since = max(now, self.changed_at)
        if now - self.short_since > patience_s:
            self.ordered = registered
            self.unconfirmed = True
            self.short_since = None
            self.blocked_until = now + MISSING_S
            return 'missing'
        return None

    def _check_excess(self, registered: int, now: float) -> str | None:
        """Have a reduction sent again that shows no effect."""
        if registered == self.ordered:
            self.excess_since = None
        elif self.excess_since is None:
            self.excess_since = now
        elif now - self.excess_since > EXCESS_S:
            self.excess_since = None
            self.unconfirmed = True
            return 'excess'
        return None


class _Hold:
    """Follows a wanted number up at once, and down only when it lasts.

    :param least_rise: smallest increase that is followed, as a share of the number
    """

    def __init__(self, least_rise: float = 0.0) -> None:
        self._least_rise = least_rise
        self.value = 0.0
        self._lower_since: float | None = None
        self._lower = 0.0  # highest value since it became lower

    def update(self, wanted: float, now: float) -> float:
        """Return the number to aim at.

        :param wanted: number wanted now
        :param now: seconds on the monotonic clock
        """
        if wanted >= self.value * HOLD_SHARE:
            if wanted > self.value * (1.0 + self._least_rise):
                self.value = wanted
            self._lower_since = None
        elif self._lower_since is None:
            self._lower_since, self._lower = now, wanted
        else:
            self._lower = max(self._lower, wanted)
            if now - self._lower_since >= HOLD_S:
                self.value, self._lower_since = self._lower, None
        return self.value


class UpstreamOrders:
    """Keeps the orders in force for a service and decides on new ones.

    A new holder begins with the registered upstreams as the orders in force.

    :param limits: limits and prices of the service
    """

    def __init__(self, limits: OrderLimits) -> None:
        self.limits = limits
        self.targets: Targets | None = None
        self.events: list[tuple[Line, str]] = []  # losses seen in the last plan
        self._lines: dict[Line, _LineState] = {}
        self._reserve = _Hold()
        self._needed = _Hold()
        self._ordinary_floor = _Hold(FLOOR_RISE)

    def plan(
        self, forecast: DemandForecast, registered: Mapping[Line, int], now: float
    ) -> list[Order]:
        """Return the orders to send now, the most important first.

        :param forecast: demand for the service
        :param registered: number of upstreams that take requests, by zone and kind
        :param now: seconds on the monotonic clock
        """
        self._observe(registered, now)
        zones = {
            zone: self._supply(zone, now) for zone in sorted(self.limits.zone_prices)
        }
        self.targets = find_targets(
            forecast,
            self.limits,
            zones,
            self._needed,
            self._reserve,
            self._ordinary_floor,
            now,
        )
        increases = list(self._increases(self.targets, now))
        increases.sort(key=lambda order: (order.line.spot, order.previous, order.line))
        if forecast.history_s < MIN_HISTORY_S:
            return increases
        return increases + self._reductions(self.targets, forecast, now)

    def record_accepted(self, order: Order, now: float) -> None:
        """Record that the platform accepted an order.

        :param order: order that was sent
        :param now: seconds on the monotonic clock
        """
        state = self._lines[order.line]
        if order.count > state.ordered:
            state.increased_at = now
        elif order.count < state.ordered:
            state.reduced_at = now
        state.ordered = state.sent = order.count
        state.changed_at = now
        state.unconfirmed = False
        state.short_since = None

    def record_unavailable(self, order: Order, now: float) -> None:
        """Record that there are no upstreams of a kind in a zone now.

        :param order: order that was sent
        :param now: seconds on the monotonic clock
        """
        state = self._lines[order.line]
        state.blocked_until = now + UNAVAILABLE_S
        state.ordered = min(state.ordered, state.serving)
        state.unconfirmed = True

    def record_unknown(self, order: Order, now: float) -> None:
        """Record that an order may or may not have been accepted.

        The lower number counts until the order is sent again.

        :param order: order that was sent
        :param now: seconds on the monotonic clock
        """
        state = self._lines[order.line]
        if order.count < state.ordered:
            state.reduced_at = now
        state.sent = max(order.count, state.ordered)
        state.ordered = min(state.ordered, order.count)
        state.unconfirmed = True

    def in_force(self) -> dict[Line, int]:
        """Return the number ordered by zone and kind."""
        return {line: state.ordered for line, state in self._lines.items()}

    def _observe(self, registered: Mapping[Line, int], now: float) -> None:
        self.events.clear()
        patience_s = self.limits.boot_s * BOOT_PATIENCE
        for zone in self.limits.zone_prices:
            for spot in (False, True):
                line = Line(zone, spot)
                count = registered.get(line, 0)
                state = self._lines.get(line)
                if state is None:
                    state = self._lines[line] = _LineState(count)
                event = state.observe(count, patience_s, now)
                if event is not None:
                    self.events.append((line, event))

    def _supply(self, zone: str, now: float) -> ZoneSupply:
        ordinary, spot = self._lines[Line(zone, False)], self._lines[Line(zone, True)]
        no_spot = self.limits.spot_price is None or spot.blocked_until > now
        return ZoneSupply(
            ordinary.ordered,
            spot.ordered,
            ordinary_available=ordinary.blocked_until <= now,
            spot_available=not no_spot,
        )

    def _increases(self, targets: Targets, now: float) -> Iterable[Order]:
        """Yield increases, and orders that have to be sent again."""
        for line, state in self._lines.items():
            if state.blocked_until > now:
                continue
            other = self._lines[Line(line.zone, not line.spot)]
            most = self.limits.maximum - max(other.ordered, other.serving)
            wanted = min(targets.count(line), most)
            if wanted > state.ordered:
                yield Order(line, wanted, state.ordered, targets.reason(line))
            elif state.unconfirmed:
                count = max(0, min(state.ordered, most))
                yield Order(line, count, state.ordered, 'unconfirmed')

    def _reductions(
        self, targets: Targets, forecast: DemandForecast, now: float
    ) -> list[Order]:
        """Return the reductions after which the demand remains served."""
        orders = []
        serving = {
            line: min(state.ordered, state.serving)
            for line, state in self._lines.items()
        }
        by_price = sorted(
            self._lines,
            key=lambda line: (line.spot, -self.limits.zone_prices[line.zone], line),
        )
        for line in by_price:
            state = self._lines[line]
            step = self._reduction(line, state, targets.count(line), now)
            while step > 0:
                after = {**serving, line: serving[line] - step}
                if is_served(after, targets, forecast):
                    break
                step -= 1
            if step <= 0:
                continue
            serving[line] -= step
            count = state.ordered - step
            orders.append(Order(line, count, state.ordered, 'replaced or not needed'))
        return orders

    def _reduction(self, line: Line, state: _LineState, wanted: int, now: float) -> int:
        """Return by how many upstreams a line may be reduced now."""
        interval_s = SPOT_REDUCTION_INTERVAL_S if line.spot else REDUCTION_INTERVAL_S
        if (
            state.ordered <= wanted
            or state.unconfirmed
            or now - state.increased_at < INCREASE_HOLD_S
            or now - state.reduced_at < interval_s
        ):
            return 0
        most = math.ceil(state.ordered * REDUCTION_SHARE)
        other = self._lines[Line(line.zone, not line.spot)]
        total = state.serving + min(other.ordered, other.serving)
        return min(state.ordered - wanted, most, total - self.limits.minimum)


def is_served(
    serving: Mapping[Line, int], targets: Targets, forecast: DemandForecast
) -> bool:
    """Return whether the demand stays served when a zone's spot upstreams leave.

    :param serving: number of upstreams that serve, by zone and kind
    :param targets: numbers wanted
    :param forecast: demand for the service
    """
    ordinary = sum(count for line, count in serving.items() if not line.spot)
    spot = [count for line, count in serving.items() if line.spot]
    left = ordinary + sum(spot) - max(spot, default=0)
    needed = max(targets.needed, forecast.present, forecast.ahead)
    return ordinary >= targets.ordinary_floor and left >= needed
