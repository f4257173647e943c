"""Stand-in for an upstream that handles each request by a script of a test."""

from __future__ import annotations

import json
import socket as std_socket
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
import h11
from gevent.server import StreamServer

from rosemaryseam.common.addresses import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

READ_BYTES = 65_536


class ReceivedRequest(NamedTuple):
    """A request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    at: float


class ScriptedExchange:
    """One request on a connection, with methods to write its answer.

    :param sock: socket of the connection
    :param request: received request
    """

    def __init__(self, sock: Any, request: ReceivedRequest) -> None:
        self.sock = sock
        self.request = request
        self.keep_alive = True
        self.caller_closed = False

    def headers(self, *, signed: bool = True, **more: str) -> dict[str, str]:
        """Return the headers that a correct upstream adds to each answer."""
        headers = {'X-Request-Id': self.request.headers.get('x-request-id', '')}
        if signed:
            headers['X-Upstream-Signature'] = 'signed'
        return {**headers, **{key.replace('_', '-'): more[key] for key in more}}

    def answer(
        self, status: int, body: bytes = b'', headers: dict[str, str] | None = None
    ) -> None:
        """Write a whole answer with its length."""
        fields = self.headers() if headers is None else headers
        self.send_raw(
            _format_head(status, {**fields, 'Content-Length': str(len(body))}) + body
        )

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Write the head of an answer; the headers decide about its framing."""
        self.send_raw(_format_head(status, headers))

    def decline(self, status: int = 503) -> None:
        """Answer that the request was not run."""
        self.answer(status, b'', self.headers(X_Not_Run='1'))

    def start_stream(self, **more: str) -> None:
        """Write the head of a chunked stream of events."""
        fields = self.headers(**more)
        fields['Content-Type'] = 'text/event-stream'
        self.send_raw(_format_head(200, {**fields, 'Transfer-Encoding': 'chunked'}))

    def event(self, number: int, text: str = 'x') -> None:
        """Write one event as a chunk."""
        self.chunk(f'id: {number}\ndata: {text}\n\n'.encode())

    def chunk(self, data: bytes) -> None:
        """Write a chunk."""
        self.send_raw(f'{len(data):x}\r\n'.encode() + data + b'\r\n')

    def end_stream(self) -> None:
        """Write the last chunk."""
        self.send_raw(b'0\r\n\r\n')

    def send_raw(self, data: bytes) -> None:
        """Write bytes without framing."""
        self.sock.sendall(data)

    def reset(self) -> None:
        """Reset the connection."""
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        self.sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)
        self.keep_alive = False

    def close(self) -> None:
        """Close the connection after the answer."""
        self.keep_alive = False

    def wait_for_caller_close(self, timeout_s: float) -> bool:
        """Wait until the router closes its side.

        :param timeout_s: how long to wait
        """
        self.keep_alive = False
        try:
            with gevent.Timeout(timeout_s):
                self.caller_closed = not self.sock.recv(1)
        except gevent.Timeout:
            return False
        except OSError:
            self.caller_closed = True
        return self.caller_closed


class ScriptedUpstream:
    """Listens on an unused port and runs a script for each request."""

    def __init__(self, script: Callable[[ScriptedExchange], None]) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self._connections: set[Any] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)

    def restart(self) -> None:
        """Listen again on the same port, after :meth:`stop`."""
        self._server = StreamServer(tuple(self.address), self._serve)
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0)
        for sock in list(self._connections):
            sock.close()

    def registry_entry(self, service: str, **more: object) -> bytes:
        """Return the entry that the upstream writes to the registry."""
        fields = {
            'service': service,
            'address': str(self.address),
            'zone': 'a',
            'slots': 8,
            'born': 1,
            **more,
        }
        return json.dumps(fields).encode()

    def _serve(self, sock: Any, _: object) -> None:
        self.connections += 1
        number = self.connections
        self._connections.add(sock)
        try:
            parser = h11.Connection(h11.SERVER)
            while (request := _read_request(sock, parser, number)) is not None:
                self.requests.append(request)
                exchange = ScriptedExchange(sock, request)
                self.script(exchange)
                if not exchange.keep_alive:
                    return
                rest = parser.trailing_data[0]
                parser = h11.Connection(h11.SERVER)
                parser.receive_data(rest) if rest else None
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._connections.discard(sock)
            sock.close()


def _read_request(
    sock: Any, parser: h11.Connection, number: int
) -> ReceivedRequest | None:
    head: h11.Request | None = None
    body = b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(sock.recv(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = _join_headers(head.headers)
            return ReceivedRequest(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                number,
                gevent.get_hub().loop.now(),
            )
        else:
            return None


def _format_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _join_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by name, joining the values of repeated headers."""
    fields: dict[str, str] = {}
    for name, value in headers:
        key, text = name.decode('latin-1'), value.decode('latin-1')
        fields[key] = f'{fields[key]}, {text}' if key in fields else text
    return fields
