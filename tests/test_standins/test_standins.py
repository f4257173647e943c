"""Tests that the stand-ins behave like the systems that they replace."""

from __future__ import annotations

import json
import threading
import time
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

import pytest

from fleet import Fleet, call, wait_until
from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.errors import PlatformError, UnknownOutcomeError
from rosemaryseam.common.keyvalue import open_key_value_store
from rosemaryseam.node.loadreports import open_load_report_reader
from rosemaryseam.standins.content import answer_tokens

if TYPE_CHECKING:
    from collections.abc import Iterator

BODY = {'model': 'small', 'prompt': 'x', 'max_tokens': 12, 'stream': True}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    started = Fleet(tmp_path_factory.mktemp('standins'))
    started.start_platform()
    started.start_standin('engine', 'engine', '--batch=2')
    yield started
    started.stop()


def _post(fleet: Fleet, body: dict[str, Any], **headers: str) -> list[bytes]:
    request = urllib.request.Request(
        f'http://{fleet.processes["engine"].address}/v1/completions',
        json.dumps(body).encode(),
        {'Content-Type': 'application/json', **headers},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return [part for part in response.read().split(b'\n\n') if part]


def _store(fleet: Fleet, timeout_s: float = 1.0) -> Any:
    return open_key_value_store(parse_address(fleet.key_value), timeout_s)


@pytest.mark.parametrize('resume', range(15))
def test_engine_resumes_from_any_event(fleet: Fleet, resume: int) -> None:
    whole = _post(fleet, BODY, **{'X-Request-Id': 'r'})
    assert len(whole) == len(answer_tokens(BODY)) + 2
    headers = {'X-Request-Id': 'r', 'X-Resume-Events': str(resume)}
    assert _post(fleet, BODY, **headers) == whole[resume:]


def test_cache_events_are_delayed_and_have_gaps(fleet: Fleet) -> None:
    address = fleet.processes['engine'].address
    fleet.control('engine', {'drop_events': 2, 'events_lag_s': 3600.0})
    for number in range(6):
        _post(fleet, {**BODY, 'prompt': f'p{number}'})
    assert call(address, '/cache_events?after=0') == []
    fleet.control('engine', {'events_lag_s': 0.0})
    events = call(address, '/cache_events?after=0')
    assert events
    assert all(entry['seq'] % 2 for entry in events)
    fleet.control('engine', {'drop_events': 0})


def test_load_reports_are_delayed(fleet: Fleet) -> None:
    reports = open_load_report_reader(1.0)
    address = parse_address(fleet.processes['engine'].address)
    fleet.control('engine', {'lag_s': 3600.0, 'slow': 4.0})
    worker = threading.Thread(target=_post, args=(fleet, BODY))
    worker.start()
    wait_until(lambda: fleet.control('engine')['running'], 'the call runs', 5.0)
    assert reports.read(address).running == 0
    fleet.control('engine', {'lag_s': 0.0})
    wait_until(lambda: reports.read(address).running == 1, 'the report', 5.0)
    worker.join()
    fleet.control('engine', {'slow': 1.0})


def test_leaving_engine_refuses_requests(fleet: Fleet) -> None:
    fleet.control('engine', {'leaving': True})
    with pytest.raises(urllib.error.HTTPError) as caught:
        _post(fleet, BODY)
    assert caught.value.code == 503
    assert caught.value.headers['X-Upstream-State'] == 'leaving'
    fleet.control('engine', {'leaving': False})


@pytest.mark.parametrize(
    ('index', 'written'),
    [(0, True), (0, False), (999, False)],
    ids=['new', 'race', 'old'],
)
def test_compare_and_swap(fleet: Fleet, index: int, written: bool) -> None:
    assert _store(fleet).put('cas-key', b'v', index) is written


def test_watch_returns_on_a_change(fleet: Fleet) -> None:
    store = _store(fleet)
    store.put('watched', b'1', 0)
    index = store.get('watched').index
    began = time.monotonic()
    assert store.watch('watched', index, 0.2).value == b'1'
    assert time.monotonic() - began >= 0.2
    store.put('watched', b'2', index)
    assert store.watch('watched', index, 5.0).value == b'2'


@pytest.mark.parametrize(
    ('faults', 'error'),
    [
        ({'mode': 'down'}, UnknownOutcomeError),
        ({'mode': 'silent'}, UnknownOutcomeError),
        ({'lose_answers': 1}, UnknownOutcomeError),
        ({'writes_per_s': 0}, PlatformError),
    ],
)
def test_write_faults_raise_errors(
    fleet: Fleet, faults: dict[str, Any], error: type[Exception]
) -> None:
    fleet.control('keyvalue', faults)
    with pytest.raises(error):
        _store(fleet, 0.3).put('faulty', b'v', 0)
    fleet.control('keyvalue', {'mode': 'up', 'writes_per_s': None, 'lose_answers': 0})


def test_write_with_lost_answer_is_applied(fleet: Fleet) -> None:
    fleet.control('keyvalue', {'lose_answers': 1})
    store = _store(fleet, 0.3)
    with pytest.raises(UnknownOutcomeError):
        store.put('lost', b'v', 0)
    assert store.get('lost').value == b'v'


def test_values_are_bounded_and_calls_are_counted(fleet: Fleet) -> None:
    before = fleet.control('keyvalue')['calls']
    store = _store(fleet)
    with pytest.raises(PlatformError):
        store.put('large', b'v' * 1_000_001, 0)
    assert store.put('large', b'v' * 1_000_000, 0)
    assert len(store.get('large').value) == 1_000_000
    after = fleet.control('keyvalue')['calls']
    assert after['put'] == before['put'] + 1
    assert after['get'] == before['get'] + 1


def test_lease_expires(fleet: Fleet) -> None:
    path = f'http://{fleet.key_value}/v1'

    def put(at: str, body: bytes = b'') -> Any:
        headers = {'Content-Type': 'application/json'}
        request = urllib.request.Request(path + at, body, headers, method='PUT')
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.load(response)

    first = put('/session/create', b'{"TTL": "300ms"}')['ID']
    second = put('/session/create', b'{"TTL": "30s"}')['ID']
    assert put(f'/kv/leased?acquire={first}', b'a') is True
    assert put(f'/kv/leased?acquire={second}', b'b') is False
    assert put(f'/session/renew/{first}')[0]['ID'] == first
    time.sleep(0.4)
    assert put(f'/kv/leased?acquire={second}', b'b') is True


def test_host_list_is_delayed(fleet: Fleet) -> None:
    path = '/v1/health/state/any'
    fleet.control('hostlist', {'lag_s': 0.5, 'states': {'host-9': 'leaving'}})
    assert call(fleet.host_list, path) == []
    wait_until(lambda: call(fleet.host_list, path), 'the entry shows', 3.0)
    assert call(fleet.host_list, path)[0]['CheckID'] == '_service_maintenance:host-9'
