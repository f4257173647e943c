"""Tests of tier order and class floors on the histories of whole fleets."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from histories import (
    accepted_requests,
    finished_calls,
    longest_gap,
    priority_inversions,
    shed_requests,
    sheds_during_lower_tier_calls,
)
from loads import TIERS, chat, scenario

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

GRACE_S = 0.3  # for messages in transit at both ends of a wait
PREEMPT_S = 0.5  # a quarter of coaching's target and the time to cancel a call
STARVATION_S = 2.0  # starvation window set by the test
LONGEST_SERVICE_S = 3.0  # 60 tokens in a full batch, including prefills of others
BURST_PER_S = 60.0  # twice the capacity of two engines with four slots each


def _wait_without_floors(catalogue: dict[str, Any]) -> None:
    """Let every class wait, so that waits are long enough for an inversion."""
    for entry in catalogue['classes']:
        entry['floor'] = 0.0
        entry['on_miss'] = 'wait'


def _logs(fleet: Any) -> list[list[Any]]:
    return [fleet.control(name)['log'] for name in fleet.engines]


def _keep_evidence(
    folder: pathlib.Path, logs: list[list[Any]], report: dict[str, Any]
) -> None:
    """Write the engines' logs and the callers' observations, to trace a failure."""
    evidence = {'engines': logs, 'observations': report['observations']}
    (folder / 'evidence.json').write_text(json.dumps(evidence))


def test_no_request_is_shed_while_a_lower_tier_is_served(
    own_fleet: Callable[..., Any], tmp_path: pathlib.Path
) -> None:
    """Tier order holds under overload, a killed dispatcher and an isolated host."""
    fleet = own_fleet(
        engines=2,
        apps=0,
        concurrent=4,
        edit_catalogue=_wait_without_floors,
        relayed=True,
    )
    streams = [
        chat('coaching', BURST_PER_S),
        chat('drafting', 8.0),
        chat('listing', 8.0),
    ]
    fleet.start_load(scenario(fleet, *streams, duration_s=12.0, patience_s=8.0))
    time.sleep(4.0)
    fleet.kill('host-1')
    time.sleep(3.0)
    fleet.isolate('host-2')
    time.sleep(3.0)
    fleet.heal()
    fleet.start_node('host-1')
    report = fleet.finish_load(60)
    logs = _logs(fleet)
    _keep_evidence(tmp_path, logs, report)
    sheds = shed_requests(report['observations'], TIERS)
    starts = accepted_requests(logs, TIERS)
    assert len([shed for shed in sheds if shed.tier == 0]) > 20
    assert len(starts) > 50
    assert priority_inversions(sheds, starts, GRACE_S) == []


def test_no_request_is_shed_while_lower_tier_calls_can_be_preempted(
    own_fleet: Callable[..., Any],
) -> None:
    """Long calls of a lower tier are preempted before the higher tier is shed."""

    def without_floors(catalogue: dict[str, Any]) -> None:
        for entry in catalogue['classes']:
            entry['floor'] = 0.0

    fleet = own_fleet(engines=2, apps=0, concurrent=4, edit_catalogue=without_floors)
    streams = [
        chat('coaching', 2.0),
        chat('drafting', 6.0, min_tokens=300, max_tokens=300),
    ]
    load = scenario(fleet, *streams, duration_s=15.0, patience_s=6.0)
    fleet.start_load(load)
    report = fleet.finish_load(60)
    sheds = shed_requests(report['observations'], TIERS)
    coaching = [shed for shed in sheds if shed.tier == 0]
    spans = finished_calls(_logs(fleet), TIERS)
    assert len([span for span in spans if span.tier > 0]) > 20
    assert sheds_during_lower_tier_calls(coaching, spans, PREEMPT_S) == []
    assert report['classes']['drafting']['mixed'] == 0


def test_every_class_is_served_within_the_starvation_window(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(
        engines=2, apps=0, concurrent=4, timing={'starvation_s': STARVATION_S}
    )
    streams = [
        chat('coaching', BURST_PER_S),
        chat('drafting', 4.0),
        chat('listing', 4.0),
    ]
    fleet.start_load(scenario(fleet, *streams, duration_s=15.0, patience_s=10.0))
    begin = time.monotonic() + 2.0
    fleet.finish_load(60)
    end = begin + 12.0
    for name in ('coaching', 'drafting', 'listing'):
        completed = [
            at
            for log in _logs(fleet)
            for at, event, entry, _ in log
            if event == 'completed' and entry == name
        ]
        gap = longest_gap(completed, begin, end)
        assert gap <= STARVATION_S + LONGEST_SERVICE_S, (
            f'{name}: nothing for {gap:.1f} s'
        )
