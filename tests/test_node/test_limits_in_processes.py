"""Owners' limits as the upstreams count them, with real processes that fail."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from loads import bookings, chat, scenario

from rosemaryseam.policy.rates import BURST_S

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT = 3
RATE = 100  # tokens a second that the owner of engine-1 lends
STREAM_PER_S = 100  # tokens a second of one stream at an engine's fastest step
REPORT_S = 1.0  # between reports of a call's progress


def _limit_rate(catalogue: dict[str, Any]) -> None:
    for upstream in catalogue['upstreams']:
        if upstream['name'] == 'engine-1':
            upstream['limits']['tokens_per_second'] = RATE


def test_limits_hold_while_hosts_fail(own_fleet: Callable[..., Any]) -> None:
    """A killed dispatcher, a frozen host, an isolated one, and a preempting class."""
    fleet = own_fleet(
        engines=2, apps=2, concurrent=LIMIT, edit_catalogue=_limit_rate, relayed=True
    )
    streams = [
        chat('coaching', 8.0),
        chat('drafting', 20.0),
        bookings(40.0),
    ]
    fleet.start_load(scenario(fleet, *streams, duration_s=14.0, patience_s=8.0))
    time.sleep(3.0)
    began, tokens = time.monotonic(), fleet.control('engine-1')['counts']['tokens']
    fleet.kill('host-1')
    time.sleep(2.0)
    fleet.freeze('host-2')
    fleet.start_node('host-1')
    time.sleep(3.0)
    fleet.thaw('host-2')
    time.sleep(1.0)
    fleet.isolate('host-3')
    time.sleep(2.0)
    fleet.heal()
    spent = fleet.control('engine-1')['counts']['tokens'] - tokens
    seconds = time.monotonic() - began
    report = fleet.finish_load(60)
    peaks = {name: fleet.control(name)['counts']['peak'] for name in fleet.engines}
    peaks |= {name: fleet.control(name)['peak'] for name in fleet.apps}
    assert max(peaks.values()) == LIMIT, peaks
    in_flight = LIMIT * STREAM_PER_S * REPORT_S
    assert spent <= RATE * (seconds + BURST_S) + in_flight
    assert report['classes']['coaching']['completed'] > 0
    assert report['classes']['coaching']['mixed'] == 0
