"""Limits of upstreams, as the upstreams measure them, while host processes fail."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from loads import bookings, chat, scenario

from rosemaryseam.policy.rates import BURST_S

if TYPE_CHECKING:
    from collections.abc import Callable

CONCURRENCY_LIMIT = 3
MAX_TOKENS_PER_S = 100  # limit set by the owner of engine-1
MAX_STREAM_TOKENS_PER_S = 100  # of one stream at an engine's shortest step time
PROGRESS_REPORT_INTERVAL_S = 1.0


def _limit_token_rate(catalogue: dict[str, Any]) -> None:
    for upstream in catalogue['upstreams']:
        if upstream['name'] == 'engine-1':
            upstream['limits']['tokens_per_second'] = MAX_TOKENS_PER_S


def test_upstream_limits_hold_while_hosts_fail(own_fleet: Callable[..., Any]) -> None:
    """Limits hold while hosts fail and one class preempts another.

    The host of a dispatcher is killed, another host is frozen and a third isolated.
    """
    fleet = own_fleet(
        engines=2,
        apps=2,
        concurrent=CONCURRENCY_LIMIT,
        edit_catalogue=_limit_token_rate,
        relayed=True,
    )
    streams = [
        chat('coaching', 8.0),
        chat('drafting', 20.0),
        bookings(40.0),
    ]
    fleet.start_load(scenario(fleet, *streams, duration_s=14.0, patience_s=8.0))
    time.sleep(3.0)
    started_at, tokens = time.monotonic(), fleet.control('engine-1')['counts']['tokens']
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
    seconds = time.monotonic() - started_at
    report = fleet.finish_load(60)
    peaks = {name: fleet.control(name)['counts']['peak'] for name in fleet.engines}
    peaks |= {name: fleet.control(name)['peak'] for name in fleet.apps}
    assert max(peaks.values()) == CONCURRENCY_LIMIT, peaks
    in_flight = CONCURRENCY_LIMIT * MAX_STREAM_TOKENS_PER_S * PROGRESS_REPORT_INTERVAL_S
    assert spent <= MAX_TOKENS_PER_S * (seconds + BURST_S) + in_flight
    assert report['classes']['coaching']['completed'] > 0
    assert report['classes']['coaching']['mixed'] == 0
