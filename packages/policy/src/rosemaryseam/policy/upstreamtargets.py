"""Wanted numbers of upstreams: what the next one is worth, and where it costs least."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.policy.demandtrend import DemandForecast

# Value of a second of an engine's work that callers would lose, in prices of it.
URGENT_VALUE = 20.0
OTHER_VALUE = 8.0
# Probability that demand reaches these multiples of its mean within a start-up time.
BURSTS = ((1.6, 0.06), (2.0, 0.01))
TREND_PROBABILITY = 0.15  # that demand follows its trend
ORDINARY_SHARE = 1 / 3  # of the mean demand beside the most urgent rank
# Ordinary upstreams of a zone, as a share of the mean over zones.
LEAST_ORDINARY, MOST_ORDINARY = 0.75, 1.25


class OrderLimits(NamedTuple):
    """How many upstreams may be ordered in a zone, and their prices.

    ``zone_prices`` is the price of an ordinary upstream's second by zone, that of a
    spot upstream is ``spot_price`` times as high; ``None`` if there are none.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float | None
    zone_prices: Mapping[str, float]


class ZoneSupply(NamedTuple):
    """Upstreams of a zone that serve or start, and which kinds can be had there."""

    ordinary: int
    spot: int
    ordinary_available: bool
    spot_available: bool


class NumberHold(Protocol):
    """Delays the decrease of a wanted number."""

    def update(self, wanted: float, now: float) -> float:
        """Return the number to aim at.

        :param wanted: number wanted now
        :param now: seconds on the monotonic clock
        """


class Targets(NamedTuple):
    """Wanted numbers of upstreams by zone.

    ``needed`` serves the demand, ``reserve`` also a burst, ``ordinary_floor`` is the
    least number of ordinary upstreams in all zones.
    """

    ordinary: dict[str, int]
    spot: dict[str, int]
    needed: int
    reserve: int
    ordinary_floor: int
    reasons: dict[tuple[str, bool], str]

    def count(self, line: tuple[str, bool]) -> int:
        """Return the number wanted.

        :param line: zone, and whether spot upstreams are meant
        """
        zone, spot = line
        return (self.spot if spot else self.ordinary)[zone]

    def reason(self, line: tuple[str, bool]) -> str:
        """Return why this number is wanted.

        :param line: zone, and whether spot upstreams are meant
        """
        return self.reasons.get(line, 'demand')


def marginal_value(count: int, forecast: DemandForecast) -> float:
    """Return the value of one more upstream, in prices of an ordinary one.

    It is the work that would otherwise be lost, the most urgent being served first.

    :param count: number of upstreams without it
    :param forecast: demand for the service
    """
    rest = 1.0 - TREND_PROBABILITY - sum(share for _, share in BURSTS)
    probability = rest * sum(one > count for one in forecast.samples)
    probability /= max(1, len(forecast.samples))
    probability += TREND_PROBABILITY * (forecast.ahead > count)
    probability += sum(
        share for factor, share in BURSTS if forecast.mean * factor > count
    )
    value = URGENT_VALUE if count < forecast.urgent else OTHER_VALUE
    return probability * value


def worthwhile(forecast: DemandForecast, price: float) -> int:
    """Return the number of upstreams up to which each is worth its price.

    :param forecast: demand for the service
    :param price: price of an upstream, that of an ordinary one being 1
    """
    count = 0
    while marginal_value(count, forecast) > price:
        count += 1
    return count


def find_targets(
    forecast: DemandForecast,
    limits: OrderLimits,
    zones: Mapping[str, ZoneSupply],
    needed_hold: NumberHold,
    reserve_hold: NumberHold,
    floor_hold: NumberHold,
    now: float,
) -> Targets:
    """Return the wanted numbers of upstreams.

    :param forecast: demand for the service
    :param limits: limits and prices of the service
    :param zones: supply of each zone
    :param needed_hold: hold of the number that serves the demand
    :param reserve_hold: hold of the number that also serves bursts
    :param floor_hold: hold of the least number of ordinary upstreams
    :param now: seconds on the monotonic clock
    """
    needed = math.ceil(needed_hold.update(worthwhile(forecast, 1.0), now))
    reserve = needed
    if limits.spot_price is not None:
        wanted = worthwhile(forecast, limits.spot_price)
        reserve = max(needed, math.ceil(reserve_hold.update(wanted, now)))
    floor = forecast.urgent + forecast.mean * ORDINARY_SHARE
    floor = min(needed, math.ceil(floor_hold.update(math.ceil(floor), now)))
    ordinary = _spread_ordinary(floor, limits, zones)
    spot = _add_spot(ordinary, needed, reserve, limits, zones)
    reasons = _add_missing_ordinary(ordinary, spot, needed, limits, zones)
    return Targets(ordinary, spot, needed, reserve, floor, reasons)


def _spread_ordinary(
    count: int, limits: OrderLimits, zones: Mapping[str, ZoneSupply]
) -> dict[str, int]:
    """Return the least ordinary upstreams by zone, more of them in cheap zones."""
    mean = count / max(1, len(zones))
    caps = {
        zone: limits.maximum
        if supply.ordinary_available
        else min(supply.ordinary, limits.maximum)
        for zone, supply in zones.items()
    }
    numbers = dict.fromkeys(zones, 0)
    left = count
    by_price = sorted(zones, key=lambda zone: (limits.zone_prices[zone], zone))
    for level in (
        math.floor(mean * LEAST_ORDINARY),
        math.ceil(mean * MOST_ORDINARY),
        limits.maximum,
    ):
        for zone in by_price:
            added = max(0, min(left, min(level, caps[zone]) - numbers[zone]))
            numbers[zone] += added
            left -= added
    return numbers


def _add_spot(
    ordinary: Mapping[str, int],
    needed: int,
    reserve: int,
    limits: OrderLimits,
    zones: Mapping[str, ZoneSupply],
) -> dict[str, int]:
    """Return the spot upstreams by zone, added where the total is lowest.

    They are enough for bursts, and for the demand if a whole zone of them leaves.
    """
    numbers = {
        zone: 0 if supply.spot_available else min(supply.spot, limits.maximum)
        for zone, supply in zones.items()
    }
    base = sum(ordinary.values())
    # More spot upstreams in a single zone do not help when that zone's leave.
    spreads = sum(supply.spot_available for supply in zones.values()) > 1
    while True:
        total = base + sum(numbers.values())
        after_loss = total - max(numbers.values(), default=0)
        short = total < reserve or (spreads and after_loss < needed)
        open_zones = [
            zone
            for zone, supply in zones.items()
            if supply.spot_available
            and ordinary[zone] + numbers[zone] < limits.maximum
            and (short or ordinary[zone] + numbers[zone] < limits.minimum)
        ]
        if not open_zones:
            return numbers
        chosen = min(
            open_zones,
            key=lambda zone: (
                ordinary[zone] + numbers[zone],
                limits.zone_prices[zone],
                zone,
            ),
        )
        numbers[chosen] += 1


def _add_missing_ordinary(
    ordinary: dict[str, int],
    spot: Mapping[str, int],
    needed: int,
    limits: OrderLimits,
    zones: Mapping[str, ZoneSupply],
) -> dict[tuple[str, bool], str]:
    """Add ordinary upstreams where spot ones cannot be had; return the reasons."""
    reasons: dict[tuple[str, bool], str] = {}
    while True:
        totals = {zone: ordinary[zone] + spot[zone] for zone in zones}
        short = sum(totals.values()) < needed
        open_zones = [
            zone
            for zone in zones
            if zones[zone].ordinary_available
            and totals[zone] < limits.maximum
            and (short or totals[zone] < limits.minimum)
        ]
        if not open_zones:
            return reasons
        chosen = min(
            open_zones, key=lambda zone: (totals[zone], limits.zone_prices[zone], zone)
        )
        ordinary[chosen] += 1
        reasons[chosen, False] = 'no spot upstreams' if short else 'minimum'
