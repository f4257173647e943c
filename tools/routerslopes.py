"""Measures how the cost of the router's work grows with the size of a fleet.

Run it by ``python tools/routerslopes.py``.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.policy.slots import UPSTREAMS_PER_SLOT, SlotPlan
from rosemaryseam.router.datagramcodec import decode, encode
from rosemaryseam.router.datagrams import Datagram, DispatchRequest, EndedRequest
from rosemaryseam.router.dispatch import DispatchPlacer
from rosemaryseam.router.dispatcher import Dispatcher
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.queries import Query
from rosemaryseam.router.routes import EngineProfile, Service
from rosemaryseam.router.upstreams import Registration, Registry, Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    from collections.abc import Callable

HOST_COUNTS = (8, 75, 1100)
UPSTREAM_COUNTS = (12, 120, 1200, 10_000)
ENGINE_PROFILE = EngineProfile(64, 300_000, 5, shares_cache=True)
SERVICE = Service('engines', '/health', 0, ENGINE_PROFILE)


class FixedHostLink(HostLink):
    """A host link with a fixed set of hosts that sends nothing."""

    def __init__(self, count: int) -> None:
        self._hosts = {
            f'10.0.{number // 250}.{number % 250}': 1.0 for number in range(count)
        }

    def known_hosts(self) -> dict[str, float]:
        """Return all hosts."""
        return self._hosts

    def send_request(self, host: str, request: object) -> None:
        """Send nothing."""

    def send_started(self, host: str, number: int) -> None:
        """Send nothing."""

    def send_ended(self, host: str, entry: object) -> None:
        """Send nothing."""

    def send_in_flight(self, host: str, report: object) -> None:
        """Send nothing."""

    def send_left(self, host: str, incarnation: object) -> None:
        """Send nothing."""

    def send_placed(self, host: str, placed: object) -> None:
        """Send nothing."""


def mean_call_s(function: Callable[[], object], min_duration_s: float = 0.2) -> float:
    """Return the mean duration of a call in seconds."""
    count = 0
    started = time.perf_counter()
    while time.perf_counter() - started < min_duration_s or not count:
        function()
        count += 1
    return (time.perf_counter() - started) / count


def make_registry(count: int) -> Registry:
    """Return a registry with a number of engines."""
    registry = Registry()
    entries = {}
    for number in range(count):
        address = Address('10.1.0.1', 1 + number % 60_000)
        upstream = Upstream(f'i-{number:08x}', 1, 'engines', address, 'a', 64)
        entries[upstream.id] = Registration(upstream, leaving=False)
    registry.replace(entries, 0.0, after_outage=False)
    return registry


def make_query(number: int, rng: random.Random) -> Query:
    """Return a query with a long prompt of one of 300 sessions."""
    session = rng.randrange(300)
    parts = ((session % 4, 2500), (1000 + session, 3800), (10_000 + number, 2900))
    return Query(
        number, f'r-{number}', 'engines', 'digest', 2, None, parts, 9200, 50, 200, 1.2,
        1.5, 5.0, 18_000, 'a', (),
    )  # fmt: skip


def measure_placement() -> None:
    """Print the duration of a placement in a slot with requests in flight."""
    clock, rng = SimulatedClock(), random.Random(1)
    registry = make_registry(UPSTREAMS_PER_SLOT)
    tracker = UpstreamTracker(clock, lambda _: SERVICE, rng)
    tracker.retain_upstreams(registry.all())
    names = [upstream.id for upstream in registry.all()]
    numbers = iter(range(10**9))

    def place() -> None:
        number = next(numbers)
        tracker.place('h', make_query(number, rng), names)
        tracker.record_first_event('h', number)
        if number >= 20 * len(names):
            tracker.record_end('h', number - 20 * len(names), 'done', 1.0)
        clock.run_until(clock.monotonic() + 0.02)

    for _ in range(500):
        place()
    print(f'placement among {len(names)} engines: {mean_call_s(place) * 1e6:.0f} us')


def measure_datagrams() -> None:
    """Print sizes and codec times of datagrams between hosts."""
    rng = random.Random(1)
    for name, datagram in (
        (
            'ask',
            Datagram(
                '10.0.0.1',
                1,
                dispatch_requests=(DispatchRequest(3, make_query(7, rng)),),
            ),
        ),
        ('end', Datagram('10.0.0.1', 1, ended=(EndedRequest(7, 'done', 0.5),))),
        ('sync of 50', Datagram('10.0.0.1', 1, sync=True, active=tuple(range(50)))),
    ):
        data = encode(datagram)
        encode_s = mean_call_s(lambda datagram=datagram: encode(datagram))
        decode_s = mean_call_s(lambda data=data: decode(data))
        print(
            f'{name}: {len(data)} bytes, encode {encode_s * 1e6:.0f} us, '
            f'decode {decode_s * 1e6:.0f} us'
        )


def measure_plans() -> None:
    """Print how long slot plans and host rankings of fleets of several sizes take."""
    for count in UPSTREAM_COUNTS:
        names = [f'i-{number:08x}' for number in range(count)]
        duration_s = mean_call_s(lambda names=names: SlotPlan('engines', names), 0.05)
        print(f'plan of {count} upstreams: {duration_s * 1e3:.2f} ms')
    plan = SlotPlan('engines', [f'i-{number:08x}' for number in range(120)])
    for count in HOST_COUNTS:
        hosts = FixedHostLink(count).known_hosts()
        duration_s = mean_call_s(lambda hosts=hosts: plan.rank_hosts(3, hosts))
        print(f'order of {count} hosts for a slot: {duration_s * 1e6:.0f} us')


def measure_host_changes() -> None:
    """Print how long a host takes to handle that another one came or went."""
    for hosts, upstreams in ((8, 12), (75, 60), (1100, 10_000)):
        clock, metrics = SimulatedClock(), Metrics()
        registry = make_registry(upstreams)
        tracker = UpstreamTracker(clock, lambda _: SERVICE, random.Random(1))
        dispatcher = Dispatcher(tracker, registry, metrics)
        placer = DispatchPlacer('h', 'a', clock, metrics, tracker, dispatcher, registry)
        placer.connect(FixedHostLink(hosts))
        plan = dispatcher.plan('engines')
        for slot in range(min(plan.count, 50)):  # slots that the host used recently
            placer.handover.assign(plan.members(slot), 'h')
        duration_s = mean_call_s(placer.hosts_changed, 0.05)
        print(
            f'a host comes or goes, {hosts} hosts, {upstreams} upstreams: '
            f'{duration_s * 1e3:.1f} ms'
        )


def main() -> None:
    """Run all measurements."""
    measure_placement()
    measure_datagrams()
    measure_plans()
    measure_host_changes()


if __name__ == '__main__':
    main()
