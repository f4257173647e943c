"""Upstreams of the soak, which record their attempts and inject faults."""

from __future__ import annotations

import hashlib
import socket as std_socket
import time
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent.server import StreamServer
from records import Attempt

from rosemaryseam.platform.headers import HEADER_NAMES

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from records import History

WORK_S = 0.02
EVENT_S = 0.05
EVENTS = 8
ANSWER_FAULTS = (
    'error', 'truncate', 'hang', 'reset', 'extra', 'unframed', 'invalid'
)  # fmt: skip
INVALID_HEADS = (
    b'HTTP/1.1 000 Status\r\n',
    b'HTTP/1.1 2000 Status\r\n',
    b'HTTP/1.1 600 Status\r\n',
    b'HTTP/2.0 200 Status\r\n',
    b'HTTP/1.1 200 Status\r\nX A: a\r\n',
    b'HTTP/1.1 200 Status\r\nContent-Length: 1\r\nContent-Length: 2\r\n',
)
UNFRAMED_SHARE = 0.3  # of streams, which have neither a length nor chunks
UPLOAD_BYTES = 400_000
EARLY_SHARE = 0.5  # of uploads to faulty upstreams, answered before they are read
EARLY_PART = b'part'
EARLY_BYTES = 3  # of the next event, sent with each event of a faulty unframed stream


def expected_body(request_id: str, body: bytes) -> bytes:
    """Return the answer of a correct upstream to a request that is not streamed."""
    return hashlib.sha256(request_id.encode() + body).hexdigest().encode() * 8


class SoakUpstream:
    """One incarnation of an upstream.

    :param name: id of the upstream
    :param service: name of the service
    :param listen: IP address and port to listen on
    :param history: collects the attempts
    :param rng: random generator that decides which answers are faulty
    :param version: version of its software, which its events name
    """

    def __init__(
        self,
        name: str,
        service: str,
        listen: tuple[str, int],
        history: History,
        rng: random.Random,
        version: str = '1',
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.born = int(time.time() * 1000)
        self.fault_share = 0.0
        self.declining = False
        self.quiet_s = 0.0  # stated when it declines
        self.limit: float | None = None  # requests per second, stated in answers
        self.leaving = False
        self._paused_until = 0.0
        self._history = history
        self._rng = rng
        self._sockets: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()

    def pause(self, seconds: float) -> None:
        """Send nothing for a period, unless a pause runs, and go on afterwards."""
        now = time.monotonic()
        if self._paused_until < now:
            self._paused_until = now + seconds

    def stop(self) -> None:
        """Close the listener and all connections, as a crash does."""
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            sock.close()

    def _serve(self, sock: Any, _: object) -> None:
        self._sockets.add(sock)
        try:
            rest = b''
            while True:
                request, body, rest = _read(sock, rest, self._answers_early)
                if request is None:
                    return
                self._answer(sock, request, body)
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _answers_early(self, request: h11.Request) -> bool:
        if b'/stream/' in request.target or b'/once/' in request.target:
            return False
        size = dict(request.headers).get(b'content-length')
        if size != str(UPLOAD_BYTES).encode() or not self.fault_share:
            return False
        return self._rng.random() < EARLY_SHARE

    def _work(self, seconds: float) -> None:
        gevent.sleep(seconds)
        gevent.sleep(max(0.0, self._paused_until - time.monotonic()))

    def _answer(self, sock: Any, request: h11.Request, body: bytes) -> None:
        fields = {name.lower(): value.decode() for name, value in request.headers}
        attempt = Attempt(
            id=_field(fields, HEADER_NAMES.request_id),
            upstream=self.name,
            service=self.service,
            arrived_at=time.monotonic(),
            executed=False,
            expected_upstream=_field(fields, HEADER_NAMES.upstream_id),
            workspace=_field(fields, HEADER_NAMES.workspace),
            patience_ms=int(_field(fields, HEADER_NAMES.timeout_ms) or 0),
        )
        self._history.attempts.append(attempt)
        self._work(0.0)
        if attempt.expected_upstream != self.name:
            _send(sock, 421, attempt, b'', {HEADER_NAMES.not_run: '1'})
            return
        if self.limit is not None:
            attempt.told_limit_at, attempt.told_limit = time.monotonic(), self.limit
        if self.leaving:
            attempt.told_leaving_at = time.monotonic()
        if self.declining:
            more = {HEADER_NAMES.not_run: '1'}
            if self.quiet_s:
                now = time.monotonic()
                attempt.told_quiet = (now, now + self.quiet_s)
                more['Retry-After'] = f'{self.quiet_s:.2f}'
            _send(sock, 503, attempt, b'', more)
            return
        attempt.executed = True
        try:
            self._run(sock, attempt, fields, body, request.target)
        finally:
            attempt.ended_at = time.monotonic()

    def _run(
        self,
        sock: Any,
        attempt: Attempt,
        fields: dict[bytes, str],
        body: bytes,
        target: bytes,
    ) -> None:
        fault = ''
        if body == EARLY_PART:
            attempt.faulty = True
            self._answer_early(sock, attempt)
            return
        if self._rng.random() < self.fault_share:
            fault = self._rng.choice(ANSWER_FAULTS)
            attempt.faulty = True
        if b'/stream/' in target or b'/once/' in target:
            self._stream(sock, attempt, fields, fault)
            return
        self._work(WORK_S)
        attempt.answer = expected_body(attempt.id, body)
        self._plain(sock, attempt, fault)

    def _plain(self, sock: Any, attempt: Attempt, fault: str) -> None:
        if fault == 'error':
            _send(sock, 500, attempt, b'failed')
        elif fault == 'hang':
            gevent.sleep(5.0)
            raise OSError
        elif fault == 'reset':
            raise OSError
        elif fault == 'invalid':
            rest = _head(200, attempt, {}).partition(b'\r\n')[2]
            sock.sendall(self._rng.choice(INVALID_HEADS) + rest + b'x')
            raise OSError
        elif fault == 'truncate':
            data = _head(200, attempt, {'Content-Length': str(len(attempt.answer))})
            sock.sendall(data + attempt.answer[:10])
            raise OSError
        elif fault == 'unframed':
            sock.sendall(_head(200, attempt, {'Connection': 'close'}) + attempt.answer)
            raise OSError
        elif fault == 'extra':
            _send(sock, 200, attempt, attempt.answer)
            _send(sock, 200, attempt, b'other bytes')
        else:
            _send(sock, 200, attempt, attempt.answer)

    def _answer_early(self, sock: Any, attempt: Attempt) -> None:
        """Answer an upload of which only the head was read; the end decides."""
        end = self._rng.choice(['length', 'order', 'reset'])
        answer = b'early answer'
        if end != 'reset':
            attempt.answer = answer  # whole
        more = {'Content-Length': str(len(answer))} if end == 'length' else {}
        sock.sendall(_head(200, attempt, {'Connection': 'close', **more}) + answer)
        if end == 'order':
            sock.shutdown(std_socket.SHUT_WR)
            while sock.recv(65_536):
                pass
        raise OSError  # with unread bytes of the upload, which resets the connection

    def _stream(
        self, sock: Any, attempt: Attempt, fields: dict[bytes, str], fault: str
    ) -> None:
        if fault in ('error', 'invalid'):
            self._plain(sock, attempt, fault)
            return
        start = int(_field(fields, HEADER_NAMES.last_event_id) or 0)
        chunked = self._rng.random() >= UNFRAMED_SHARE
        more = {'Content-Type': 'text/event-stream'}
        if chunked:
            more['Transfer-Encoding'] = 'chunked'
        sock.sendall(_head(200, attempt, more))
        early_bytes = 0 if chunked or not fault else EARLY_BYTES
        parts = _split_stream(attempt, self.version, start, early_bytes)
        for number, part in enumerate(parts, start + 1):
            self._work(EVENT_S)
            if fault in ('truncate', 'reset') and number == start + 3:
                sock.sendall(
                    f'{len(part):x}\r\n'.encode() + part[:5] if chunked else b''
                )
                raise OSError
            if fault == 'hang' and number == start + 2:
                gevent.sleep(4.0)
                raise OSError
            sock.sendall(_chunk(part) if chunked else part)
        if not chunked:
            raise OSError
        sock.sendall(_chunk(b''))


def _split_stream(
    attempt: Attempt, version: str, start: int, early_bytes: int
) -> list[bytes]:
    """Return the parts of a stream, of which each ends with an event.

    With early bytes, each part also has the first bytes of the next event, so that a
    cut between two parts leaves an incomplete event.
    """
    events = [
        f'id: {number}\nevent: {version}\ndata: {attempt.id}\n\n'.encode()
        for number in range(start + 1, EVENTS + 1)
    ]
    following = [*(event[:early_bytes] for event in events[1:]), b'']
    return [
        event[early_bytes if index else 0 :] + early
        for index, (event, early) in enumerate(zip(events, following, strict=False))
    ]


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def _read(
    sock: Any, rest: bytes, is_early: Callable[[h11.Request], bool]
) -> tuple[h11.Request | None, bytes, bytes]:
    """Return a request, with :data:`EARLY_PART` as its body if it is not read."""
    parser = h11.Connection(h11.SERVER)
    if rest:
        parser.receive_data(rest)
    request, body = None, b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(sock.recv(65_536))
        elif isinstance(event, h11.Request):
            request = event
            if is_early(request):
                return request, EARLY_PART, b''
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body, parser.trailing_data[0]
        else:
            return None, b'', b''


def _field(fields: dict[bytes, str], name: str) -> str:
    return fields.get(name.lower().encode(), '')


def _send(
    sock: Any,
    status: int,
    attempt: Attempt,
    body: bytes,
    more: dict[str, str] | None = None,
) -> None:
    fields = {'Content-Length': str(len(body)), **(more or {})}
    sock.sendall(_head(status, attempt, fields) + body)


def _head(status: int, attempt: Attempt, more: dict[str, str]) -> bytes:
    fields = {HEADER_NAMES.request_id: attempt.id, HEADER_NAMES.signature: 's1', **more}
    if attempt.told_leaving_at is not None:
        fields[HEADER_NAMES.leaving] = '1'
    if attempt.told_limit_at is not None:
        fields[HEADER_NAMES.request_limit] = f'{attempt.told_limit:g}'
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()
