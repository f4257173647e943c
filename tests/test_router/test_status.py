"""Tests of the readiness check, the metrics and the state dump."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from routers import RunningRouter


def test_metrics_count_requests_and_show_their_latency(router: RunningRouter) -> None:
    router.add('one', lambda exchange: exchange.answer(200, b'x'))
    assert router.call('safe').status == 200
    assert router.call('nowhere').status == 404
    answer = call(router.cfg.metrics, 'GET', '/metrics', timeout_s=1.0)
    lines = answer.body.decode().splitlines()
    assert answer.status == 200
    assert 'rosemaryseam_requests_refused_total{status="404"} 1.0' in lines
    assert 'rosemaryseam_request_seconds_count{route="safe"} 1.0' in lines
    assert any('quantile="0.99"' in line for line in lines)


def test_the_dump_shows_the_state_and_the_upstreams(router: RunningRouter) -> None:
    router.add('one', lambda exchange: exchange.answer(200, b'x'))
    answer = call(router.cfg.metrics, 'GET', '/dump', timeout_s=1.0)
    state = json.loads(answer.body)
    assert state['not_ready'] is None
    assert state['version'] == 1
    assert [entry['id'] for entry in state['upstreams']] == ['one']


def test_a_stopping_router_is_not_ready(router: RunningRouter) -> None:
    assert call(router.cfg.readiness, 'GET', '/any', timeout_s=1.0).status == 200
    router.router.request_stop()
    answer = call(router.cfg.readiness, 'GET', '/any', timeout_s=1.0)
    assert answer.status == 503
    assert json.loads(answer.body)['reason'] == 'stopping'


def test_readiness_and_dump_show_work_that_fails_repeatedly(
    router: RunningRouter,
) -> None:
    router.router.metrics.work_failures.record_failure('some work', ValueError('again'))
    for address, path in (
        (router.cfg.readiness, '/any'),
        (router.cfg.metrics, '/dump'),
    ):
        state = json.loads(call(address, 'GET', path, timeout_s=1.0).body)
        assert state['failing_work']['some work']['in_a_row'] >= 1
