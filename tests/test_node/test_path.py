"""Forwarding, refusals and at-most-once requests over HTTP, and the admin port."""

from __future__ import annotations

import hashlib
import json
import socket
import threading
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

import openai
import pytest

from catalogues import KEYS
from fleet import ADMIN_TOKEN, call, wait_until
from rosemaryseam.common.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from fleets import StartedFleet

MARKET_AUTH = {'Authorization': f'Bearer {KEYS["market"]}'}


def _send(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    url = f'http://{address}{path}'
    request = urllib.request.Request(url, body, headers or MARKET_AUTH, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, dict(exc.headers), exc.read()


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', '/availability/7?from=1&to=%C3%A9', None),
        ('POST', '/bookings', b'{"unit": 1}'),
        ('PUT', '/units/5/photo', bytes(range(256))),
        ('DELETE', '/units/5', None),
        ('PATCH', '/a/b/c/', b'x' * 100_000),
    ],
)
def test_app_request_is_forwarded_unchanged(
    shared_fleet: StartedFleet, method: str, path: str, body: bytes | None
) -> None:
    address = shared_fleet.nodes['host-2']['listen']
    headers = {**MARKET_AUTH, 'X-Custom': 'kept', 'Content-Type': 'application/x-any'}
    status, _, data = _send(address, method, f'/apps/desk{path}', body, headers)
    answer = json.loads(data)
    assert status == 200
    assert answer['method'] == method
    assert answer['path'] == urllib.request.unquote(path.split('?')[0])
    assert answer['query'] == path.partition('?')[2]
    assert answer['digest'] == hashlib.sha256(body or b'').hexdigest()
    assert answer['header'] == 'kept'


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'status', 'code'),
    [
        ('GET', '/v1/models', None, {'X': '1'}, 401, ResultCode.UNAUTHENTICATED),
        ('GET', '/v1/nothing', None, MARKET_AUTH, 404, ResultCode.NOT_FOUND),
        ('DELETE', '/v1/models', None, MARKET_AUTH, 404, ResultCode.NOT_FOUND),
        ('GET', '/apps/nowhere/x', None, MARKET_AUTH, 404, ResultCode.NOT_FOUND),
        ('GET', '/apps/models/x', None, MARKET_AUTH, 404, ResultCode.NOT_FOUND),
        ('POST', '/v1/completions', b'{', MARKET_AUTH, 400, ResultCode.BAD_REQUEST),
        ('POST', '/v1/completions', b'[]', MARKET_AUTH, 400, ResultCode.BAD_REQUEST),
        (
            'POST',
            '/v1/completions',
            b'[' * 90000,
            MARKET_AUTH,
            400,
            ResultCode.BAD_REQUEST,
        ),
        (
            'POST',
            '/v1/completions',
            b'x' * 4_000_001,
            MARKET_AUTH,
            413,
            ResultCode.BODY_TOO_LARGE,
        ),
        (
            'POST',
            '/apps/desk/bookings',
            b'{}',
            {**MARKET_AUTH, 'Idempotency-Key': 'k' * 300},
            400,
            ResultCode.BAD_REQUEST,
        ),
    ],
)
def test_invalid_request_is_refused(
    shared_fleet: StartedFleet,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    status: int,
    code: int,
) -> None:
    address = shared_fleet.nodes['host-1']['listen']
    got, _, data = _send(address, method, path, body, headers)
    assert got == status
    assert json.loads(data)['error']['result_code'] == code


def test_idempotency_key_of_another_request_is_refused(
    shared_fleet: StartedFleet,
) -> None:
    address = shared_fleet.nodes['host-1']['listen']
    headers = {**MARKET_AUTH, 'Idempotency-Key': 'used'}
    assert _send(address, 'POST', '/apps/desk/fees', b'1', headers)[0] == 200
    status, answer_headers, data = _send(
        address, 'POST', '/apps/desk/fees', b'2', headers
    )
    assert status == 422
    assert json.loads(data)['error']['result_code'] == ResultCode.KEY_REUSED
    assert answer_headers['x-should-retry'] == 'false'


@pytest.mark.parametrize('stream', [True, False])
def test_request_that_waited_too_long_gets_503_with_retry_after(
    own_fleet: Callable[..., Any], stream: bool
) -> None:
    """With every engine drained, a sheddable request is refused at its target time."""
    fleet = own_fleet(nodes=2, engines=1, apps=0, edit_catalogue=_drain_all_upstreams)
    body = json.dumps({'model': 'small', 'prompt': 'x', 'stream': stream}).encode()
    headers = {**MARKET_AUTH, 'X-Request-Class': 'coaching'}
    for settings in fleet.nodes.values():
        status, answer_headers, data = _send(
            settings['listen'], 'POST', '/v1/completions', body, headers
        )
        error = json.loads(data)['error']
        assert status == 503
        assert error['result_code'] == ResultCode.DEADLINE_EXCEEDED
        assert int(answer_headers['retry-after']) >= 1


def test_openai_client_succeeds_by_retrying_after_retry_after(
    own_fleet: Callable[..., Any],
) -> None:
    """The client retries as ``Retry-After`` says and reaches the undrained engine."""
    fleet = own_fleet(nodes=1, engines=1, apps=0, edit_catalogue=_drain_all_upstreams)
    client = openai.OpenAI(
        base_url=f'http://{fleet.nodes["host-1"]["listen"]}/v1',
        api_key=KEYS['market'],
        default_headers={'X-Request-Class': 'coaching'},
        max_retries=8,
    )
    answers: list[Any] = []

    def send_request() -> None:
        answers.append(client.completions.create(model='small', prompt='x'))

    client_thread = threading.Thread(target=send_request)
    client_thread.start()
    wait_until(
        lambda: _deadline_refusal_count(fleet, 'host-1') >= 1, 'the first refusal', 10.0
    )
    fleet.catalogue['upstreams'][0]['drain'] = False
    fleet.apply_catalogue(fleet.catalogue)
    client_thread.join()
    assert answers[0].choices[0].finish_reason == 'stop'


def _deadline_refusal_count(fleet: Any, host: str) -> int:
    code = int(ResultCode.DEADLINE_EXCEEDED)
    return fleet.dump(host)['counters'].get(f'errors,code={code}', 0)


def _drain_all_upstreams(catalogue: dict[str, Any]) -> None:
    for upstream in catalogue['upstreams']:
        upstream['drain'] = True


def test_unanswered_request_is_reported_as_outcome_unknown(
    own_fleet: Callable[..., Any],
) -> None:
    """The runner executes the request and never answers; a repetition is not run."""
    timing = {'upstream_first_byte_s': 1.0}
    fleet = own_fleet(nodes=2, engines=0, apps=1, timing=timing)
    fleet.control('app-1', {'silent': True})
    headers = {**MARKET_AUTH, 'Idempotency-Key': 'silent'}
    for settings in fleet.nodes.values():
        status, answer_headers, data = _send(
            settings['listen'], 'POST', '/apps/desk/fees', b'1', headers
        )
        assert status == 502
        assert json.loads(data)['error']['result_code'] == ResultCode.OUTCOME_UNKNOWN
        assert answer_headers['x-should-retry'] == 'false'
    assert len(fleet.control('app-1')['executions']) == 1


def test_request_without_idempotency_key_is_sent_once(
    own_fleet: Callable[..., Any],
) -> None:
    timing = {'upstream_first_byte_s': 1.0}
    fleet = own_fleet(nodes=1, engines=0, apps=2, timing=timing)
    for name in fleet.apps:
        fleet.control(name, {'silent': True})
    address = fleet.nodes['host-1']['listen']
    status, _, data = _send(address, 'POST', '/apps/desk/fees', b'1')
    assert status == 502
    assert json.loads(data)['error']['result_code'] == ResultCode.OUTCOME_UNKNOWN
    executions = [fleet.control(name)['executions'] for name in fleet.apps]
    assert sum(len(entries) for entries in executions) == 1


def test_queued_request_of_a_disconnected_caller_is_not_run(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(nodes=1, engines=0, apps=1, concurrent=1)
    fleet.control('app-1', {'service_ms': 1500})
    address = fleet.nodes['host-1']['listen']
    first = threading.Thread(target=_send, args=(address, 'POST', '/apps/desk/a', b'1'))
    first.start()
    wait_until(
        lambda: fleet.control('app-1')['open'] == 1, 'the first request runs', 5.0
    )
    ip, port = address.split(':')
    with socket.create_connection((ip, int(port))) as second:
        second.sendall(
            f'POST /apps/desk/b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
            f'Authorization: {MARKET_AUTH["Authorization"]}\r\n\r\n2'.encode()
        )
        wait_until(
            lambda: fleet.dump('host-1')['grants']['waiting'],
            'the second request waits',
            5.0,
        )
    first.join()
    third = _send(address, 'POST', '/apps/desk/c', b'3')
    assert third[0] == 200
    paths = [entry['path'] for entry in fleet.control('app-1')['executions']]
    assert paths == ['/a', '/c']


def test_admin_port_requires_a_token_except_for_health_checks(
    shared_fleet: StartedFleet,
) -> None:
    admin = shared_fleet.nodes['host-1']['admin_listen']
    token = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
    assert call(admin, '/healthz') == {'status': 'ok'}
    assert call(admin, '/readyz')['ready'] is True
    for path in ('/dump', '/metrics', '/catalogue'):
        assert _send(admin, 'GET', path)[0] == 401
    status, _, text = _send(admin, 'GET', '/metrics', None, token)
    assert status == 200
    assert b'rosemaryseam_peer_bytes_sent_total' in text
    assert call(admin, '/dump', headers=token)['member']['majority'] is True
