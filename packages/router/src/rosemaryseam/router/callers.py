"""HTTP server for callers, which cancels requests whose caller disconnects."""

from __future__ import annotations

import contextlib
import os
import socket as std_socket
import struct
import traceback
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
import h11
from gevent import socket
from gevent.hub import get_hub
from gevent.pool import Pool
from gevent.server import StreamServer

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.router.codec import RequestHead
from rosemaryseam.router.earlylisten import LISTEN_BACKLOG
from rosemaryseam.router.readability import readable_descriptors
from rosemaryseam.router.reply import CallerGoneError, CutOffError, Reply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.requests import RawHeaders
    from rosemaryseam.router.routes import CallerLimits

READ_BYTES = 65_536
MAX_READ_AHEAD_BYTES = 65_536  # of pipelined requests, kept while one is answered
LINGER_S = 1.0  # for which bytes of a refused caller are discarded
MAX_LINGER_BYTES = 8_388_608  # of discarded bytes
SEND_TIMEOUT_S = 10.0  # for sending one part of an answer to a slow caller
LOGGED_TRACE_FRAMES = 3  # innermost frames of an internal error's traceback
_EV_READ = 1  # event mask of libev
_LINGER_0_S = struct.pack('ii', 1, 0)  # closing resets the connection


class ReceivedRequest(NamedTuple):
    """A complete request as read from a connection.

    ``arrived`` is the time on the monotonic clock at which the head was complete.
    """

    head: RequestHead
    body: bytes
    arrived: float


class RefusedRequestError(Exception):
    """Raised for a request that is answered before it was read completely.

    :param status: HTTP status of the answer
    :param code: result code of the answer
    :param message: text for the answer and the log
    """

    def __init__(self, status: int, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


class BodyMemoryBudget:
    """Limits the memory for request bodies of one process.

    :param limit: maximum of reserved memory, in bytes
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.reserved_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve memory if the limit allows it; return whether it did.

        :param count: number of bytes
        """
        if self.reserved_bytes + count > self._limit:
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release reserved memory.

        :param count: number of bytes
        """
        self.reserved_bytes -= count


class CallerServer:
    """Accepts connections of callers and serves requests on them.

    :param address: address to listen on
    :param handle: answers one request
    :param clock: clock of the process
    :param metrics: counters of the process
    :param limits: returns the current size and time limits for callers
    :param body_memory: limits the memory for request bodies
    :param max_connections: maximum number of concurrent connections
    :param listener: socket that already listens on the address, or ``None``
    """

    def __init__(
        self,
        address: Address,
        handle: Callable[[ReceivedRequest, ConnectionReply], None],
        clock: Clock,
        metrics: Metrics,
        limits: Callable[[], CallerLimits],
        body_memory: BodyMemoryBudget,
        max_connections: int,
        listener: std_socket.socket | None = None,
    ) -> None:
        self.handle = handle
        self.clock = clock
        self.metrics = metrics
        self.limits = limits
        self.body_memory = body_memory
        self.draining = False
        self._connections: set[CallerConnection] = set()
        self._server = StreamServer(
            tuple(address) if listener is None else _to_gevent_socket(listener),
            self._serve,
            backlog=LISTEN_BACKLOG if listener is None else None,
            spawn=Pool(max_connections),
        )

    def listen(self) -> None:
        """Open the listening socket without accepting connections yet.

        :raises OSError: if the address cannot be bound
        """
        self._server.init_socket()

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def begin_drain(self) -> None:
        """Add ``Connection: close`` to all answers from now on."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket and keep the open connections.

        Connections in the accept queue are accepted first, else they would be reset.
        """
        self._server.stop_accepting()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()

    def kill(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop(timeout=0)
        for conn in list(self._connections):
            conn.close()

    def close_idle(self) -> None:
        """Close the connections without a request in flight or on its way in."""
        for conn in list(self._connections):
            if conn.is_idle and not conn.has_unserved_bytes():
                conn.close()

    def cut_off(self) -> None:
        """Refuse the requests in flight; break off the answers that have begun."""
        for conn in list(self._connections):
            get_hub().loop.run_callback(conn.cut_off)

    @property
    def open_connections(self) -> int:
        """The number of open connections of callers."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """The number of connections with a request in flight."""
        return sum(1 for conn in self._connections if not conn.is_idle)

    def _serve(self, sock: Any, peer: tuple[str, int]) -> None:
        conn = CallerConnection(sock, self)
        self._connections.add(conn)
        try:
            conn.run()
        except CallerGoneError as exc:
            self.metrics.count('callers_gone')
            log_event('answer_incomplete', reason=str(exc))
        finally:
            self._connections.discard(conn)
            conn.close()


class CallerConnection:
    """Serves the requests on one connection of a caller.

    :param sock: accepted socket
    :param server: server that accepted the connection
    """

    def __init__(self, sock: Any, server: CallerServer) -> None:
        self._sock = sock
        self._server = server
        self._limits = server.limits()
        self._http = h11.Connection(h11.SERVER, self._limits.head_bytes)
        self._receiver = FairReceiver(sock)
        self._read_ahead = bytearray()
        self._eof = False
        self._reset_on_close = False
        self._handler: gevent.Greenlet | None = None  # while it answers a request
        self.is_idle = True
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            reply = ConnectionReply(self)
            try:
                received = self._read_request()
            except RefusedRequestError as exc:
                self._refuse(reply, exc)
                return
            if received is None:
                return
            try:
                self._answer(received, reply)
            finally:
                self._server.body_memory.release(len(received.body))
            if not self._prepare_next_request():
                return
            self.is_idle = True

    def send(self, event: Any) -> None:
        """Send an HTTP event to the caller.

        :param event: h11 event
        :raises CallerGoneError: if the caller has disconnected or does not read
        """
        data = self._http.send(event)
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def has_unserved_bytes(self) -> bool:
        """Return whether the caller sent bytes that belong to no request yet."""
        return bool(self._http.trailing_data[0]) or self._is_readable()

    def cut_off(self) -> None:
        """End the request in flight; called by the event loop."""
        if self._handler is not None:
            self._handler.throw(CutOffError('the process ends'))

    def must_close(self) -> bool:
        """Return whether to add ``Connection: close`` to answers."""
        return self._server.draining

    def begin_answer(self, headers: RawHeaders) -> None:
        """Reset the connection if it closes before the answer ends, where needed.

        HTTP/1.0 has no chunks, so that the end of the connection completes an answer
        without a length.

        :param headers: headers of the answer
        """
        names = {name.lower() for name, _ in headers}
        self._reset_on_close = (
            self._http.their_http_version == b'1.0' and b'content-length' not in names
        )

    def end_answer(self) -> None:
        """Close the connection in order from now on."""
        self._reset_on_close = False

    def close(self) -> None:
        """Close the connection; reset it if the end would complete a partial answer."""
        with contextlib.suppress(OSError):
            if self._reset_on_close:
                self._sock.setsockopt(
                    std_socket.SOL_SOCKET, std_socket.SO_LINGER, _LINGER_0_S
                )
            else:
                self._sock.shutdown(std_socket.SHUT_RDWR)
        self._sock.close()

    def lingering_close(self) -> None:
        """Shut down the sending side and discard what the caller still sends."""
        receiver = FairReceiver(self._sock, MAX_LINGER_BYTES)
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._sock.shutdown(std_socket.SHUT_WR)
            self._sock.settimeout(LINGER_S)
            while receiver.recv(READ_BYTES):
                pass

    def _answer(self, received: ReceivedRequest, reply: ConnectionReply) -> None:
        try:
            with self._cancel_on_disconnect():
                self._server.handle(received, reply)
        except CallerGoneError:
            raise
        except Exception as exc:
            self._server.metrics.count('internal_errors')
            trace = traceback.format_exc(limit=-LOGGED_TRACE_FRAMES)
            log_warning('internal_error', error=repr(exc), trace=trace)
            if reply.started:
                raise CallerGoneError('internal error') from exc
            reply.refuse(500, ResultCode.INTERNAL, 'internal error', close=True)

    def _refuse(self, reply: ConnectionReply, exc: RefusedRequestError) -> None:
        self._server.metrics.count('requests_refused', status=str(exc.status))
        log_event('request_unreadable', status=exc.status, reason=str(exc))
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            retry = 0.5 if exc.status in (408, 503) else None
            reply.refuse(
                exc.status, exc.code, str(exc), retry_after_s=retry, close=True
            )
            self.lingering_close()

    def _prepare_next_request(self) -> bool:
        if self._http.our_state is h11.MUST_CLOSE:
            self.lingering_close()
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        if self._read_ahead:
            data, self._read_ahead = bytes(self._read_ahead), bytearray()
            self._http.receive_data(data)
        return not self._eof

    # Reading requests.

    def _read_request(self) -> ReceivedRequest | None:
        try:
            request = self._read_head()
            if request is None:
                return None
            arrived = self._server.clock.monotonic()
            head = RequestHead(
                request.method, request.target, list(request.headers.raw_items())
            )
            _check_framing(head.headers)
            self._check_head_size(head)
            body = self._read_body(head)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            raise RefusedRequestError(status, ResultCode.BAD_REQUEST, str(exc)) from exc
        return ReceivedRequest(head, body, arrived)

    def _check_head_size(self, head: RequestHead) -> None:
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > self._limits.head_bytes:
            raise RefusedRequestError(
                431, ResultCode.BAD_REQUEST, 'the head is too large'
            )

    def _read_head(self) -> h11.Request | None:
        """Return the head of the next request, or ``None`` if no complete one came."""
        deadline = None
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self.is_idle = False
                return event
            if event is not h11.NEED_DATA:
                return None
            pending = bool(self._http.trailing_data[0])
            if pending and deadline is None:
                deadline = self._server.clock.monotonic() + self._limits.head_s
            if not self._receive_head_bytes(deadline):
                return None

    def _receive_head_bytes(self, deadline: float | None) -> bool:
        wait = self._limits.idle_s
        if deadline is not None:
            wait = deadline - self._server.clock.monotonic()
        try:
            if wait <= 0:
                return False
            try:
                self._receive(wait)
            except TimeoutError:
                # The bytes may have come in the turn in which the wait ended.
                if not self._is_readable():
                    return False
                self._receive(wait)
        except OSError:
            return False
        return True

    def _is_readable(self) -> bool:
        """Return whether the caller sent bytes, or the end, that were not received."""
        descriptor = self._sock.fileno()
        return descriptor >= 0 and descriptor in readable_descriptors([descriptor])

    def _receive(self, wait_s: float) -> None:
        self._sock.settimeout(wait_s)
        data = self._receiver.recv(READ_BYTES)
        self._http.receive_data(data)

    def _read_body(self, head: RequestHead) -> bytes:
        parts: list[bytes] = []
        size = 0
        memory = self._server.body_memory
        try:
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b''.join(parts)
                if isinstance(event, h11.Data):
                    self._reserve_memory(size + len(event.data), len(event.data))
                    size += len(event.data)
                    parts.append(bytes(event.data))
                    continue
                if event is not h11.NEED_DATA:
                    raise CallerGoneError(
                        'the caller disconnected while sending the body'
                    )
                self._receive_body_bytes()
        except BaseException:
            memory.release(size)
            raise

    def _reserve_memory(self, size: int, added: int) -> None:
        """Reserve memory for a part of a body, up to the limit on body size."""
        if size > self._limits.body_bytes:
            raise RefusedRequestError(
                413, ResultCode.BODY_TOO_LARGE, 'the body is too large'
            )
        if not self._server.body_memory.reserve(added):
            raise RefusedRequestError(
                503, ResultCode.NO_CAPACITY, 'too many bodies in memory'
            )

    def _receive_body_bytes(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            self._receive(self._limits.idle_s)
        except TimeoutError as exc:
            raise RefusedRequestError(
                408, ResultCode.BAD_REQUEST, 'the body did not arrive in time'
            ) from exc
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    # Detecting callers that disconnect.

    @contextlib.contextmanager
    def _cancel_on_disconnect(self) -> Iterator[None]:
        """Raise :exc:`CallerGoneError` in this greenlet when the caller disconnects."""
        greenlet = gevent.getcurrent()
        watcher = get_hub().loop.io(self._sock.fileno(), _EV_READ)

        def on_readable() -> None:
            try:
                data = os.read(self._sock.fileno(), READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                data = b''
            if not data:
                self._eof = True
                watcher.stop()
                greenlet.throw(CallerGoneError('the caller disconnected'))
                return
            self._read_ahead += data
            if len(self._read_ahead) >= MAX_READ_AHEAD_BYTES:
                watcher.stop()

        watcher.start(on_readable)
        self._handler = greenlet
        try:
            yield
        finally:
            self._handler = None
            watcher.stop()
            watcher.close()


class ConnectionReply(Reply):
    """Writes the answer to one request on the caller's connection.

    :param conn: connection of the caller
    """

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.started = False

    def start(self, status: int, reason: bytes, headers: RawHeaders) -> None:
        """Write the status line and the headers."""
        self.started = True
        self._conn.begin_answer(headers)
        if self._conn.must_close():
            names = {name.lower() for name, _ in headers}
            if b'connection' not in names:
                headers = [*headers, (b'Connection', b'close')]
        self._conn.send(
            h11.Response(status_code=status, reason=reason, headers=headers)
        )

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._conn.send(h11.Data(data=data))

    def finish(self) -> None:
        """Write the end of the body, which completes the answer."""
        self._conn.send(h11.EndOfMessage())
        self._conn.end_answer()

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        raise CallerGoneError('the answer was aborted before its end')


def _to_gevent_socket(listener: std_socket.socket) -> socket.socket:
    """Convert a listening socket of the standard library to a gevent socket."""
    return socket.socket(fileno=listener.detach())


def _check_framing(headers: RawHeaders) -> None:
    """Refuse a request with ambiguous framing or more than one host."""
    names = [name.lower() for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise RefusedRequestError(
            400, ResultCode.BAD_REQUEST, 'both a length and a transfer encoding'
        )
    if names.count(b'host') > 1:
        raise RefusedRequestError(400, ResultCode.BAD_REQUEST, 'more than one host')
