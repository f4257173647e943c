"""Serves the requests of one connection and holds what they take in memory."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.hub import get_hub
from gevent.pywsgi import WSGIHandler

from rosemaryseam.common.calleraccount import Holder, NoRoomError, Stage
from rosemaryseam.common.callerwatch import CallerGoneError
from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.common.requestinput import (
    FramingReader,
    HeadReader,
    HeadTooLargeError,
    RequestInput,
)

if TYPE_CHECKING:
    from rosemaryseam.common.bodybuffer import BodyBuffer

SOCKET_KEY = 'rosemaryseam.socket'
HOLDER_KEY = 'rosemaryseam.holder'
UNFRAMED_KEY = 'rosemaryseam.unframed'  # set if the connection marks the answer's end
LINGER_S = 1.0  # for which bytes of a refused caller are discarded
MAX_LINGER_BYTES = 8_388_608  # of discarded bytes
READ_BYTES = 16_384  # that are discarded at a time
RETRY_AFTER_S = 1.0  # for callers that are refused because of others
_EMPTY_ANSWER = b'Connection: close\r\nContent-Length: 0\r\n\r\n'
HEAD_TOO_LARGE = b'HTTP/1.1 431 Request Header Fields Too Large\r\n' + _EMPTY_ANSWER
NO_ROOM = b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n' + _EMPTY_ANSWER


class RequestHolder(WSGIHandler, Holder):
    """Serves the requests of one connection and holds what they take in memory."""

    body: BodyBuffer | None = None  # of an unfinished request
    _refusal: RequestError | None = None  # of a request that has to yield
    _lingers = False  # the caller may still send what is not read

    def handle(self) -> None:
        """Serve the requests; what the connection holds is released at the end."""
        self._greenlet = gevent.getcurrent()
        account = self.server.account
        try:
            if account is not None:
                self.since = time.monotonic()
                self.peer = str(self.client_address[0])
                account.add(self, None if self.server.draining else gevent.sleep)
            super().handle()
        except NoRoomError:
            self.socket.close()
        finally:
            if account is not None:
                account.remove(self)
            # They refer to the connection, which the garbage collector would keep.
            self.environ = self.wsgi_input = self._greenlet = None

    def handle_one_request(self) -> Any:
        """Serve a request; a caller that is refused sees its answer."""
        try:
            result = super().handle_one_request()
        except NoRoomError:
            result = '503', NO_ROOM
        if isinstance(result, tuple):
            self._lingers = True
            with contextlib.suppress(OSError, CallerGoneError):
                self._sendall(result[1])
            result = None
        if result is None and self._lingers:
            self.enter(Stage.REFUSED)
            self._linger()
        return result

    def read_requestline(self) -> str:
        """Read a request line; a connection that stays idle is closed."""
        self.enter(Stage.IDLE)
        self.server.mark_idle(self)
        try:
            with gevent.Timeout(self.server.timeouts.idle_s, False):
                return super().read_requestline()
            return ''
        finally:
            self.server.mark_busy(self)

    def shut_down(self) -> None:
        """Shut down a connection that waits for a request."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head within its timeout."""
        limit = self.server.head_bytes
        self.enter(Stage.HEAD, limit)
        stream = self.rfile
        self.rfile = HeadReader(stream, limit - len(raw_requestline))
        try:
            with gevent.Timeout(self.server.timeouts.head_s, ValueError('slow head')):
                return super().read_request(raw_requestline)
        finally:
            self.rfile = stream

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, HeadTooLargeError):
            return '431', HEAD_TOO_LARGE
        if isinstance(ex, NoRoomError):
            return '503', NO_ROOM
        return super()._handle_client_error(ex)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection's socket and its account to the environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HOLDER_KEY] = self
        old = self.wsgi_input
        stream = FramingReader(old.rfile) if old.chunked_input else old.rfile
        self.wsgi_input = RequestInput(
            stream, old.content_length, old.socket, old.chunked_input
        )
        environ['wsgi.input'] = self.wsgi_input
        self.enter(Stage.BODY if self.wsgi_input.is_unread else Stage.RUNNING)
        return environ

    # Memory.

    def enter(self, stage: Stage, count: int = 0) -> None:
        """Begin a stage of the request.

        :param stage: the stage
        :param count: bytes that the request takes now, without the connection itself
        :raises NoRoomError: if there is no memory for them
        """
        account = self.server.account
        if stage is Stage.RUNNING:
            self.stage = stage  # others yield to a complete request
            count += 0 if account is None else account.costs.request
        self.hold(count)
        self.stage = stage
        self.since = time.monotonic()

    def hold(self, count: int) -> None:
        """Set what the request takes now, without the connection itself.

        :param count: number of bytes
        :raises NoRoomError: if there is no memory for them
        """
        self.note_progress()
        account = self.server.account
        if account is not None:
            account.resize(self, account.costs.connection + count)

    def reserve(self, count: int) -> bool:
        """Reserve more memory for the request that is answered.

        :param count: number of bytes
        :returns: whether there is room for them
        """
        account = self.server.account
        if account is not None:
            try:
                account.resize(self, self.held_bytes + count)
            except NoRoomError:
                return False
        return True

    def note_progress(self) -> None:
        """Record that bytes of the caller arrived.

        :raises RequestError: if the request had to yield meanwhile
        """
        self.since = time.monotonic()
        exc, self._refusal = self._refusal, None
        if exc is not None:
            raise exc

    def give_way(self, reason: str) -> None:
        """Refuse an unfinished request, or close the connection."""
        if self.stage is not Stage.BODY:
            self.shut_down()
            return
        if self.body is not None:
            self.body.release()
        self._refusal = RequestError(reason, ResultCode.NO_CAPACITY, RETRY_AFTER_S)
        get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        exc, self._refusal = self._refusal, None
        if exc is not None:
            self._greenlet.throw(exc)

    def _linger(self) -> None:
        """Shut down the sending side and discard what the caller still sends."""
        receiver = FairReceiver(self.socket, MAX_LINGER_BYTES)
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self.socket.shutdown(socket.SHUT_WR)
            while receiver.recv(READ_BYTES):
                pass

    def _sendall(self, data: bytes) -> None:
        """Send data, or raise :exc:`CallerGoneError` when the caller does not read."""
        with gevent.Timeout(self.server.timeouts.send_s, CallerGoneError()):
            super()._sendall(data)

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Add ``Connection: close`` to the last answer of the connection."""
        source = self.wsgi_input
        self._refusal = None  # the request is answered already
        if self.body is not None:
            self.body.release()
        if source.is_unread:
            self.stage = Stage.REFUSED
            self.since = time.monotonic()
            self._lingers = not source.is_worth_reading
        if self.server.draining or self._lingers or UNFRAMED_KEY in self.environ:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)

    def finalize_headers(self) -> None:
        """Add the framing of the answer, unless its end is that of the connection."""
        if UNFRAMED_KEY in self.environ:
            self.provided_content_length = ''  # as if the application had framed it
        super().finalize_headers()

    def handle_one_response(self) -> None:
        """Serve a request and count it meanwhile."""
        self.server.requests += 1
        try:
            super().handle_one_response()
        except CallerGoneError:
            self.close_connection = True
        finally:
            self.server.requests -= 1

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection without an error log when the caller disconnected."""
        if isinstance(v, CallerGoneError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)
