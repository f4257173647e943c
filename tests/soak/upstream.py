"""Upstreams of the soak: they record what they run, and misbehave as they are told."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent.server import StreamServer
from records import Run

from rosemaryseam.platform.headers import HEADER_NAMES

if TYPE_CHECKING:
    import random

    from records import History

WORK_S = 0.02
EVENT_S = 0.05
EVENTS = 8
SPOILT = ('error', 'truncate', 'hang', 'reset', 'extra', 'unframed')


def expected_body(request_id: str, body: bytes) -> bytes:
    """Return the answer of a sound upstream to a plain request."""
    return hashlib.sha256(request_id.encode() + body).hexdigest().encode() * 8


class SoakUpstream:
    """One incarnation of an upstream.

    :param name: its id
    :param service: that it serves
    :param listen: where to listen
    :param history: gets its runs
    :param rng: decides which answers are spoilt
    """

    def __init__(
        self,
        name: str,
        service: str,
        listen: tuple[str, int],
        history: History,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.spoil_share = 0.0
        self.declines = False
        self.leaving = False
        self._history = history
        self._rng = rng
        self._open: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()

    def stop(self) -> None:
        """Crash: close everything."""
        self._server.stop(timeout=0)
        for sock in list(self._open):
            sock.close()

    def _serve(self, sock: Any, _: object) -> None:
        self._open.add(sock)
        try:
            rest = b''
            while True:
                request, body, rest = _read(sock, rest)
                if request is None:
                    return
                self._answer(sock, request, body)
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._open.discard(sock)
            sock.close()

    def _answer(self, sock: Any, request: h11.Request, body: bytes) -> None:
        fields = {name.lower(): value.decode() for name, value in request.headers}
        run = Run(
            id=_field(fields, HEADER_NAMES.request_id),
            upstream=self.name,
            service=self.service,
            at=time.monotonic(),
            began=False,
            expected=_field(fields, HEADER_NAMES.upstream_id),
            workspace=_field(fields, HEADER_NAMES.workspace),
            patience_ms=int(_field(fields, HEADER_NAMES.timeout_ms) or 0),
        )
        self._history.runs.append(run)
        if run.expected != self.name:
            _send(sock, 421, run, b'', {HEADER_NAMES.not_run: '1'})
            return
        if self.declines:
            _send(sock, 503, run, b'', {HEADER_NAMES.not_run: '1'})
            return
        run.began = True
        try:
            self._run(sock, run, fields, body, request.target)
        finally:
            run.ended_at = time.monotonic()

    def _run(
        self, sock: Any, run: Run, fields: dict[bytes, str], body: bytes, target: bytes
    ) -> None:
        spoil = ''
        if self._rng.random() < self.spoil_share:
            spoil = self._rng.choice(SPOILT)
            run.spoilt = True
        if b'/stream/' in target or b'/once/' in target:
            self._stream(sock, run, fields, spoil)
            return
        gevent.sleep(WORK_S)
        run.answer = expected_body(run.id, body)
        self._plain(sock, run, spoil)

    def _plain(self, sock: Any, run: Run, spoil: str) -> None:
        if spoil == 'error':
            _send(sock, 500, run, b'failed')
        elif spoil == 'hang':
            gevent.sleep(5.0)
            raise OSError
        elif spoil == 'reset':
            raise OSError
        elif spoil == 'truncate':
            data = _head(200, run, {'Content-Length': str(len(run.answer))})
            sock.sendall(data + run.answer[:10])
            raise OSError
        elif spoil == 'unframed':
            sock.sendall(_head(200, run, {'Connection': 'close'}) + run.answer)
            raise OSError
        elif spoil == 'extra':
            _send(sock, 200, run, run.answer)
            _send(sock, 200, run, b'other bytes')
        else:
            _send(sock, 200, run, run.answer)

    def _stream(
        self, sock: Any, run: Run, fields: dict[bytes, str], spoil: str
    ) -> None:
        if spoil == 'error':
            _send(sock, 500, run, b'failed')
            return
        start = int(_field(fields, HEADER_NAMES.last_event_id) or 0)
        more = {'Transfer-Encoding': 'chunked', 'Content-Type': 'text/event-stream'}
        sock.sendall(_head(200, run, more))
        for number in range(start + 1, EVENTS + 1):
            gevent.sleep(EVENT_S)
            event = f'id: {number}\ndata: {run.id}\n\n'.encode()
            if spoil in ('truncate', 'reset') and number == start + 3:
                sock.sendall(f'{len(event):x}\r\n'.encode() + event[:5])
                raise OSError
            if spoil == 'hang' and number == start + 2:
                gevent.sleep(4.0)
                raise OSError
            sock.sendall(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        sock.sendall(b'0\r\n\r\n')


def _read(sock: Any, rest: bytes) -> tuple[h11.Request | None, bytes, bytes]:
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
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body, parser.trailing_data[0]
        else:
            return None, b'', b''


def _field(fields: dict[bytes, str], name: str) -> str:
    return fields.get(name.lower().encode(), '')


def _send(
    sock: Any, status: int, run: Run, body: bytes, more: dict[str, str] | None = None
) -> None:
    fields = {'Content-Length': str(len(body)), **(more or {})}
    sock.sendall(_head(status, run, fields) + body)


def _head(status: int, run: Run, more: dict[str, str]) -> bytes:
    fields = {HEADER_NAMES.request_id: run.id, HEADER_NAMES.signature: 's1', **more}
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()
