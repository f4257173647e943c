"""Tests upstreams that write an earlier refusal once more on a kept connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

if TYPE_CHECKING:
    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

WORK_S = 0.2
STATUSES = [400, 408, 421, 429, 503]
IDS = [
    ('without an id', {}),
    ('with the id of another request', {'X-Request-Id': 'earlier'}),
    ('with an empty id', {'X-Request-Id': ''}),
]
SIGNATURES = [('unsigned', {}), ('signed', {'X-Upstream-Signature': 'signed'})]
ROUTES = ['unsafe', 'single']


class Repeating:
    """An upstream's script that repeats a refusal before its second answer.

    :param status: status of the refusal
    :param headers: headers of the refusal
    :param answers: whether the answer to the second request follows
    """

    def __init__(
        self, status: int, headers: dict[str, str], *, answers: bool = True
    ) -> None:
        self.status = status
        self.headers = headers
        self.answers = answers
        self.runs = 0

    def __call__(self, exchange: ScriptedExchange) -> None:
        """Answer a request, from the second one on after the refusal."""
        self.runs += 1
        if self.runs > 1:
            exchange.answer(self.status, b'', {**self.headers, 'X-Not-Run': '1'})
            gevent.sleep(WORK_S)
            if not self.answers:
                exchange.wait_for_caller_close(3.0)
                return
        if 'stream' in exchange.request.target:
            exchange.answer(200, b'id: 1\ndata: x\n\n')
        else:
            exchange.answer(200, b'own')


def reuse_connection(
    router: RunningRouter, script: Repeating, route: str
) -> tuple[int, int]:
    """Send two requests to one upstream; return status and arrivals of the second.

    A second upstream is there from the second request on.
    """
    first = router.add('one', script)
    assert router.call(route).status == 200
    call = gevent.spawn(router.call, route)
    router.wait(lambda: len(first.requests) == 2)
    assert [request.connection for request in first.requests] == [1, 1]
    second = router.add('two', lambda exchange: exchange.answer(200, b'other'))
    return call.get().status, len(first.requests) + len(second.requests) - 1


# Guards against callers that are told "not run" for a request that an upstream runs,
# and against such a request that runs at a second upstream (issue 42, REFUSED, TWICE).
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize(('signature', 'signed'), SIGNATURES)
@pytest.mark.parametrize(('name', 'id_header'), IDS, ids=[row[0] for row in IDS])
@pytest.mark.parametrize('status', STATUSES)
def test_an_earlier_refusal_is_no_answer_to_this_request(
    status: int,
    name: str,
    id_header: dict[str, str],
    signature: str,
    signed: dict[str, str],
    route: str,
    router: RunningRouter,
) -> None:
    script = Repeating(status, {**id_header, **signed})
    assert reuse_connection(router, script, route) == (200, 1)


# Guards against a promise that the request has not run while it may be running.
@pytest.mark.parametrize(('name', 'id_header'), IDS, ids=[row[0] for row in IDS])
def test_an_earlier_refusal_without_an_answer_is_no_promise(
    name: str, id_header: dict[str, str], router: RunningRouter
) -> None:
    script = Repeating(503, id_header, answers=False)
    status, arrivals = reuse_connection(router, script, 'unsafe')
    assert status in (502, 504)
    assert arrivals == 1


def test_a_refusal_that_names_its_request_is_one(router: RunningRouter) -> None:
    def script(exchange: ScriptedExchange) -> None:
        if len(upstream.requests) == 1:
            exchange.answer(200, b'own')
        else:
            exchange.decline()

    upstream = router.add('one', script)
    assert router.call('unsafe').status == 200
    refused = router.call('unsafe')
    assert refused.status == 503
    assert 'retry-after' in refused.headers


def test_upstreams_that_name_no_requests_keep_their_connections(
    router: RunningRouter,
) -> None:
    nameless = {'X-Upstream-Signature': 'signed'}
    upstream = router.add('one', lambda one: one.answer(200, b'own', nameless))
    assert [router.call('safe').status for _ in range(3)] == [200, 200, 200]
    assert upstream.connections == 1
