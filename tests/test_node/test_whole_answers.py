"""Every caller gets its own complete answer while engines and hosts fail."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest
from loads import chat, scenario

if TYPE_CHECKING:
    from collections.abc import Callable

FAST_TIMING = {
    'upstream_between_bytes_s': 1.0,
    'upstream_first_byte_s': 2.0,
    'upstream_connect_s': 0.5,
}


def _faults(report: dict[str, Any]) -> dict[str, int]:
    totals = {'lost': report['lost']}
    for name in ('incomplete', 'mixed', 'failed'):
        totals[name] = sum(entry[name] for entry in report['classes'].values())
    return totals


@pytest.mark.parametrize('streamed', [True, False])
def test_answers_are_complete_when_engines_fail(
    own_fleet: Callable[..., Any], streamed: bool
) -> None:
    """One engine crashes, another hangs, then a third crashes while that one hangs."""
    fleet = own_fleet(engines=3, apps=0, timing=FAST_TIMING)
    load = scenario(fleet, chat('drafting', 10.0, streamed=streamed), duration_s=9.0)
    fleet.start_load(load)
    time.sleep(2.0)
    fleet.control('engine-1', {'crash_s': 1.0})
    time.sleep(2.0)
    fleet.control('engine-2', {'silent': True})
    time.sleep(2.5)
    fleet.control('engine-3', {'crash_s': 0.5})
    time.sleep(1.0)
    fleet.control('engine-2', {'silent': False})
    report = fleet.finish_load(60)
    assert _faults(report) == {'lost': 0, 'incomplete': 0, 'mixed': 0, 'failed': 0}
    broken = [entry for entry in report['observations'] if entry['attempts'] > 1]
    assert broken == [], 'the fleet hides failures of engines from callers'


def test_answers_are_complete_when_the_only_engine_restarts(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(engines=1, apps=0, nodes=2, timing=FAST_TIMING)
    load = scenario(fleet, chat('drafting', 3.0), duration_s=6.0)
    fleet.start_load(load)
    time.sleep(2.0)
    fleet.control('engine-1', {'crash_s': 0.5})
    report = fleet.finish_load(60)
    assert _faults(report) == {'lost': 0, 'incomplete': 0, 'mixed': 0, 'failed': 0}
    assert report['classes']['drafting']['retried'] == 0


def test_answers_are_complete_when_hosts_fail(own_fleet: Callable[..., Any]) -> None:
    """Callers that retry after a host was killed get a complete answer."""
    fleet = own_fleet(engines=2, apps=0, timing=FAST_TIMING)
    streams = [chat('coaching', 5.0), chat('drafting', 6.0, streamed=False)]
    fleet.start_load(scenario(fleet, *streams))
    time.sleep(3.0)
    fleet.kill('host-1')
    time.sleep(2.0)
    fleet.freeze('host-2')
    fleet.control('engine-1', {'crash_s': 1.0})
    fleet.start_node('host-1')
    time.sleep(3.0)
    fleet.thaw('host-2')
    report = fleet.finish_load(60)
    assert _faults(report) == {'lost': 0, 'incomplete': 0, 'mixed': 0, 'failed': 0}
