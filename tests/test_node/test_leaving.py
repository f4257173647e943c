"""Tests of leaving upstreams and of the graceful stop of hosts."""

from __future__ import annotations

import http.client
import json
import time
from typing import TYPE_CHECKING, Any

import pytest
from loads import bookings, chat, scenario

from catalogues import KEYS

if TYPE_CHECKING:
    from collections.abc import Callable

PROPAGATION_S = 3.0  # until all hosts know, after the first host could know


def _count_accepted_after(fleet: Any, name: str, after: float) -> int:
    log = fleet.control(name)['log']
    return sum(event == 'accepted' and at > after for at, event, *_ in log)


@pytest.mark.parametrize('source', ['host list', 'refusal'])
def test_leaving_upstream_gets_no_new_requests(
    own_fleet: Callable[..., Any], source: str
) -> None:
    """All hosts avoid an upstream that the host list or its refusal reports as leaving.

    The host list lags behind, and one host is isolated from its peers meanwhile.
    """
    lag_s = 1.0 if source == 'host list' else 0.0
    fleet = own_fleet(engines=2, apps=0, relayed=True)
    fleet.control('hostlist', {'lag_s': lag_s})
    fleet.start_load(scenario(fleet, chat('drafting', 20.0), duration_s=8.0))
    time.sleep(1.5)
    if source == 'host list':
        fleet.control('hostlist', {'states': {'engine-1': 'leaving'}})
        fleet.control('keyvalue', {'mode': 'silent'})
    else:
        fleet.control('engine-1', {'leaving': True})
    first_known_at = time.monotonic() + lag_s + 1.2  # lag and one poll of the list
    time.sleep(0.2)
    fleet.isolate('host-3')
    report = fleet.finish_load(60)
    assert _count_accepted_after(fleet, 'engine-1', first_known_at - 2.0 - lag_s) > 0
    assert _count_accepted_after(fleet, 'engine-1', first_known_at + PROPAGATION_S) == 0
    assert report['classes']['drafting']['completed'] > 50
    assert report['classes']['drafting']['incomplete'] == 0


def test_rolling_restart_answers_every_request(own_fleet: Callable[..., Any]) -> None:
    """Restarts all hosts one after another under load."""
    fleet = own_fleet(engines=2, apps=2, timing={'drain_s': 0.5})
    streams = [chat('drafting', 8.0), chat('coaching', 5.0), bookings(10.0)]
    fleet.start_load(scenario(fleet, *streams, duration_s=20.0))
    time.sleep(1.0)
    for host in list(fleet.nodes):
        assert fleet.terminate(host) == 0
        fleet.start_node(host)
        fleet.wait_ready(host)
    report = fleet.finish_load(60)
    unanswered = [entry for entry in report['observations'] if entry['unanswered']]
    assert unanswered == []
    for name, entry in report['classes'].items():
        assert entry['completed'] == entry['offered'], name
    fleet.wait_serving()


def test_open_connection_is_served_while_a_host_stops(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(engines=1, apps=0, nodes=2, timing={'drain_s': 1.0})
    ip, port = fleet.nodes['host-1']['listen'].split(':')
    conn = http.client.HTTPConnection(ip, int(port), timeout=10)
    body = json.dumps({'model': 'small', 'prompt': 'x', 'max_tokens': 3})
    headers = {'Authorization': f'Bearer {KEYS["market"]}'}
    connection_headers = []
    for attempt in range(2):
        if attempt:
            fleet.processes['host-1'].process.terminate()
            time.sleep(0.3)
        conn.request('POST', '/v1/completions', body, headers)
        answer = conn.getresponse()
        assert answer.status == 200
        assert json.loads(answer.read())['choices'][0]['finish_reason'] == 'stop'
        connection_headers.append(answer.headers.get('Connection'))
    assert connection_headers[1] == 'close'
    assert connection_headers[0] != 'close'
    assert fleet.processes.pop('host-1').process.wait(20) == 0
