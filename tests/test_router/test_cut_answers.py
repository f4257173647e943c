"""Cuts answers of upstreams at each byte; another upstream then says something else."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import gevent
import pytest
from routers import RunningRouter

from rosemaryseam.policy.retrybudget import RetryBudgetLimits
from rosemaryseam.router.routes import EngineProfile

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response

    from rosemaryseam.standins.scripted import ScriptedExchange

EVENTS = 3
JSON = b'{"text": "a whole answer"}'
ERROR = b'the model failed: out of memory'
ERROR_EVENT = b'event: error\ndata: out of memory\n\n'
UPSTREAMS = 4
COMMENT = b': a comment\n'
BOUNDARIES = range(EVENTS + 1)


def events(first: int, last: int) -> bytes:
    """Return complete events with these numbers."""
    return ''.join(f'id: {i}\ndata: piece\n\n' for i in range(first, last + 1)).encode()


def chunked(body: bytes) -> bytes:
    """Return a body in chunks of 20 bytes, which end inside events."""
    parts = [body[i : i + 20] for i in range(0, len(body), 20)]
    return b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in parts) + b'0\r\n\r\n'


def encode(
    exchange: ScriptedExchange,
    status: int,
    body: bytes,
    *,
    media_type: str = 'text/event-stream',
    framing: str = 'chunked',
    signed: bool = True,
) -> bytes:
    """Return all bytes of an answer."""
    fields = exchange.headers(signed=signed)
    if status != 204:
        fields['Content-Type'] = media_type
    if framing == 'chunked':
        fields['Transfer-Encoding'] = 'chunked'
        body = chunked(body)
    elif framing == 'length':
        fields['Content-Length'] = str(len(body))
    lines = [f'HTTP/1.1 {status} Status', *(f'{k}: {v}' for k, v in fields.items())]
    return '\r\n'.join([*lines, '', '']).encode() + body


def rest_of(exchange: ScriptedExchange) -> bytes:
    """Return the events that a request asks for."""
    after = int(exchange.request.headers.get('last-event-id', '0'))
    return events(after + 1, EVENTS)


class Next(NamedTuple):
    """What the next upstream says; ``goes_on`` tells that it is a right answer."""

    name: str
    encode: Callable[[ScriptedExchange, str], bytes]
    goes_on: bool = False


def failing(status: int, media_type: str, framing: str) -> Next:
    """Return an answer with a text that no caller of a stream should get."""
    return Next(
        f'{status} {media_type} {framing}',
        lambda exchange, _: encode(
            exchange, status, ERROR, media_type=media_type, framing=framing
        ),
    )


def right(exchange: ScriptedExchange, route: str) -> bytes:
    """Return the right answer to a request."""
    if route == 'safe':
        return encode(exchange, 200, JSON, media_type='application/json')
    return encode(exchange, 200, rest_of(exchange))


NEXT = [
    Next('right', right, goes_on=True),
    *(
        failing(status, media_type, framing)
        for status in (400, 404, 500, 502, 503)
        for media_type in ('text/plain', 'text/event-stream')
        for framing in ('length', 'chunked', 'close')
    ),
    *(failing(302, 'text/html', framing) for framing in ('length', 'chunked')),
    *(failing(200, media, 'length') for media in ('application/json', 'text/plain')),
    *(failing(206, 'text/event-stream', framing) for framing in ('length', 'chunked')),
    *(
        Next(
            f'{status} with a whole event',
            lambda exchange, _, status=status: encode(exchange, status, ERROR_EVENT),
        )
        for status in (206, 404, 503)
    ),
    Next('204', lambda exchange, _: encode(exchange, 204, b'', framing='none')),
    Next(
        'a foreign 200',
        lambda exchange, _: encode(
            exchange, 200, ERROR, media_type='text/html', signed=False
        ),
    ),
    Next('a head of another protocol', lambda *_: b'SSH-2.0-server\r\n'),
    Next('half a head', lambda *_: b'HTTP/1.1 500 Status\r\nContent-Le'),
    Next('nothing', lambda *_: b''),
]


@pytest.fixture
def running() -> Iterator[RunningRouter]:
    """Yield a router that may repeat each request."""
    router = RunningRouter(retry_budget_limits=RetryBudgetLimits(1.0, 10_000, 10.0))
    router.start()
    yield router
    router.stop()


class CutAnswers:
    """Upstreams of which the first cuts its answer and the next says something else.

    :param router: router that uses them
    :param route: name of the route
    :param framing: how the end of the first answer is marked
    """

    def __init__(self, router: RunningRouter, route: str, framing: str) -> None:
        self._router = router
        self._route = route
        self._framing = framing
        self._cut_at = 0
        self._next = NEXT[0]
        self._arrivals = 0
        self.reached_next = 0
        self.length = 1000
        for number in range(UPSTREAMS):
            router.add(f'upstream-{number}', self._answer)

    def call(self, cut_at: int, following: Next) -> Response:
        """Send a request whose first answer is cut after some bytes."""
        self._cut_at, self._next, self._arrivals = cut_at, following, 0
        return self._router.call(self._route)

    def _answer(self, exchange: ScriptedExchange) -> None:
        self._arrivals += 1
        if self._arrivals == 1:
            body, media = (
                (JSON, 'application/json')
                if self._route == 'safe'
                else (events(1, EVENTS), 'text/event-stream')
            )
            data = encode(exchange, 200, body, media_type=media, framing=self._framing)
            self.length = len(data)
            data = data[: self._cut_at]
        else:
            self.reached_next += 1
            data = self._next.encode(exchange, self._route)
        exchange.send_raw(data)
        exchange.close()


def check_stream(response: Response) -> None:
    """Check that a caller got events alone, and was told if some are missing."""
    if response.status != 200:
        assert response.complete
        assert b'id: ' not in response.body
        return
    if response.body in (ERROR, ERROR_EVENT):  # a whole answer before any event
        assert response.complete
        return
    assert response.body in [events(1, last) for last in BOUNDARIES]
    assert not response.complete or response.body == events(1, EVENTS)


def check_whole(response: Response) -> None:
    """Check that a successful answer is whole."""
    assert response.complete
    if response.status == 200:
        assert response.body in (JSON, ERROR)
    else:
        assert response.status in (204, 206, 302, 400, 404, 500, 502, 503)


# Guards against an error's text or head in the middle of a stream, streams that end as
# if they were complete, and heads that end early and become short answers (reports of
# other operators in issue 45).
@pytest.mark.parametrize('framing', ['length', 'chunked'])
@pytest.mark.parametrize('route', ['stream', 'safe', 'once'])
def test_no_caller_takes_a_cut_answer_for_a_whole_one(
    running: RunningRouter, route: str, framing: str
) -> None:
    answers = CutAnswers(running, route, framing)
    rng = random.Random(f'{route} {framing}')
    check = check_whole if route == 'safe' else check_stream
    cut_at = 0
    while cut_at < answers.length:
        following = rng.choice(NEXT)
        response = answers.call(cut_at, following)
        try:
            check(response)
        except AssertionError as exc:
            exc.add_note(f'cut after {cut_at} bytes, then {following.name}: {response}')
            raise
        cut_at += 1
    assert answers.reached_next > 100 or route == 'once'


# Guards against a continuation that looks like a success and is none.
@pytest.mark.parametrize('following', NEXT, ids=lambda following: following.name)
@pytest.mark.parametrize('framing', ['length', 'chunked', 'close'])
def test_a_stream_that_began_goes_on_only_as_a_stream(
    running: RunningRouter, framing: str, following: Next
) -> None:
    answers = CutAnswers(running, 'stream', framing)
    whole = answers.length
    while (response := answers.call(whole, NEXT[0])) and whole != answers.length:
        whole = answers.length
    assert response.body == events(1, EVENTS)
    after_two = whole - len(chunked(events(1, 3))) + 60
    if framing != 'chunked':
        after_two = whole - len(events(3, 3)) - 3
    response = answers.call(after_two, following)
    check_stream(response)
    assert response.body.startswith(events(1, 1))
    assert response.complete is following.goes_on


# What the upstream says, and when its head comes: before the stream begins, or after.
ASKED_BEFORE = [
    ('right', 'early'),
    ('404 text/plain length', 'early'),
    ('404 text/event-stream chunked', 'early'),
    ('200 application/json length', 'early'),
    ('206 text/event-stream chunked', 'early'),
    ('right', 'late'),
    ('404 text/plain length', 'late'),
    ('500 text/plain close', 'late'),
    ('200 text/plain length', 'late'),
    ('204', 'late'),
]


# Guards against an answer to the whole request in the middle of a stream: the upstream
# that was asked in place of a silent one did not know that the stream would begin.
@pytest.mark.parametrize(('name', 'head'), ASKED_BEFORE)
def test_a_stream_that_began_late_goes_on_only_as_a_stream(
    running: RunningRouter, name: str, head: str
) -> None:
    following = next(one for one in NEXT if one.name == name)
    services = running.router.feed.table.services
    engine = EngineProfile(16, 100_000, 1, shares_cache=False)
    services['work'] = services['work']._replace(engine=engine)

    asked: list[ScriptedExchange] = []

    def silent_at_first(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        running.wait(lambda: len(asked) > 0, 5.0)
        exchange.chunk(COMMENT)
        gevent.sleep(0.02)
        exchange.event(1, 'piece')
        exchange.close()

    def answer_late(exchange: ScriptedExchange) -> None:
        data = following.encode(exchange, 'stream')
        early = data.find(b'\r\n\r\n') + 4 if head == 'early' else 0
        exchange.send_raw(data[:early])
        gevent.sleep(0.05)
        asked.append(exchange)
        gevent.sleep(0.2)
        exchange.send_raw(data[early:])
        exchange.close()

    running.add('one', silent_at_first)
    prompt = {'X-Prompt-Parts': 'a:50,b:50', 'X-Token-Counts': '100,10'}
    sent = gevent.spawn(running.call, 'long', headers=prompt, patience_ms=8000)
    running.wait(lambda: len(running.upstreams['one'].requests) == 1)
    running.add('two', answer_late)
    response = sent.get(timeout=8.0)
    response = response._replace(body=response.body.removeprefix(COMMENT))
    check_stream(response)
    assert response.body.startswith(events(1, 1))
    assert response.complete is following.goes_on
    assert running.router.metrics.value('internal_errors') == 0
