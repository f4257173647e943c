"""Keyed requests run at most once, and those reported as not run never run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import pytest
from histories import duplicate_executions, wrongly_reported_not_run
from loads import bookings, scenario

from catalogues import KEYS
from fleet import call

if TYPE_CHECKING:
    from collections.abc import Callable

TIMING = {'key_value_s': 0.5, 'upstream_first_byte_s': 2.0}


def _executions(fleet: Any) -> list[dict[str, Any]]:
    return [entry for name in fleet.apps for entry in fleet.control(name)['executions']]


def _lose_key_value_answers(fleet: Any) -> None:
    for _ in range(6):
        fleet.control('keyvalue', {'lose_answers': 2})
        time.sleep(0.5)


def _stop_key_value_service(fleet: Any) -> None:
    fleet.control('keyvalue', {'mode': 'down'})
    time.sleep(2.0)
    fleet.control('keyvalue', {'mode': 'up'})


def _silence_key_value_service(fleet: Any) -> None:
    fleet.control('keyvalue', {'mode': 'silent'})
    time.sleep(2.0)
    fleet.control('keyvalue', {'mode': 'up'})


def _freeze_host(fleet: Any) -> None:
    fleet.freeze('host-1')
    time.sleep(3.0)
    fleet.thaw('host-1')


def _kill_host_and_lose_answers(fleet: Any) -> None:
    fleet.control('keyvalue', {'lose_answers': 4})
    fleet.kill('host-2')
    time.sleep(1.0)
    fleet.start_node('host-2')


def _silence_app_runner(fleet: Any) -> None:
    fleet.control('app-1', {'silent': True})
    time.sleep(1.5)
    fleet.control('app-1', {'silent': False})


@pytest.mark.parametrize(
    'fail',
    [
        _lose_key_value_answers,
        _stop_key_value_service,
        _silence_key_value_service,
        _freeze_host,
        _kill_host_and_lose_answers,
        _silence_app_runner,
    ],
)
def test_each_key_is_executed_at_most_once(
    own_fleet: Callable[..., Any], fail: Callable[[Any], None]
) -> None:
    fleet = own_fleet(engines=0, apps=2, timing=TIMING)
    load = scenario(fleet, bookings(15.0, copies=2), duration_s=6.0, patience_s=12.0)
    fleet.start_load(load)
    time.sleep(1.5)
    fail(fleet)
    report = fleet.finish_load(60)
    executions = _executions(fleet)
    assert duplicate_executions(executions) == {}
    assert wrongly_reported_not_run(report['observations'], executions) == []
    assert report['classes']['booking']['mixed'] == 0
    assert report['classes']['booking']['completed'] > 0
    assert report['lost'] == 0


def test_duplicates_get_the_first_answer(shared_fleet: Any) -> None:
    headers = {
        'Authorization': f'Bearer {KEYS["court"]}',
        'Idempotency-Key': 'the-same',
        'X-Custom': 'kept',
    }
    answers = [
        call(settings['listen'], '/apps/desk/fees?case=9', {'fee': 3}, headers)
        for settings in shared_fleet.nodes.values()
    ]
    assert answers[0] == answers[1] == answers[2]
    assert answers[0]['path'] == '/fees'
    assert answers[0]['query'] == 'case=9'
    assert answers[0]['header'] == 'kept'
