"""A caller's connection: answers one request after the other."""

from __future__ import annotations

import contextlib
import os
import socket as std_socket
import struct
import traceback
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent.hub import get_hub

from rosemaryseam.common.calleraccount import Holder, NoRoomError, Stage
from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.router.admission import RefusalError
from rosemaryseam.router.callerreply import ConnectionReply
from rosemaryseam.router.reply import CallerGoneError, CutOffError
from rosemaryseam.router.requestreader import (
    RETRY_AFTER_S,
    ReadingConnection,
    RequestReader,
)
from rosemaryseam.router.requests import Framing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.router.callers import CallerServer
    from rosemaryseam.router.requesthandler import ReceivedRequest
    from rosemaryseam.router.requests import RawHeaders

READ_BYTES = 16_384  # that are discarded at a time
MAX_READ_AHEAD_BYTES = 65_536  # of pipelined requests, kept while one is answered
LINGER_S = 1.0  # for which bytes of a refused caller are discarded
MAX_LINGER_BYTES = 8_388_608  # of discarded bytes
MAX_JOINED_BYTES = 16_384  # of parts that are sent in one call
SEND_TIMEOUT_S = 10.0  # for sending one part of an answer to a slow caller
LOGGED_TRACE_FRAMES = 3  # innermost frames of an internal error's traceback
_EV_READ = 1  # event mask of libev
_LINGER_0_S = struct.pack('ii', 1, 0)  # closing resets the connection
_NO_LINGER = struct.pack('ii', 0, 0)


class CallerConnection(Holder, ReadingConnection):
    """Serves the requests on one connection of a caller.

    :param sock: accepted socket
    :param server: server that accepted the connection
    :param peer: IP address of the caller
    """

    def __init__(self, sock: Any, server: CallerServer, peer: str) -> None:
        limits = server.limits()
        self.peer = peer
        self._sock = sock
        self._server = server
        self._account = server.account
        self._http = h11.Connection(h11.SERVER, limits.head_bytes)
        self._reader = RequestReader(
            self, sock, self._http, limits, server.handler, server.clock
        )
        self._read_ahead = ReadAhead(self)
        self._reset_on_close = False
        self._greenlet = gevent.getcurrent()
        self._is_answering = False
        self._refusal: RefusalError | None = None  # of a request that has to yield
        self.since = server.clock.monotonic()
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight or its head complete."""
        return self.stage in (Stage.IDLE, Stage.HEAD)

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            reply = ConnectionReply(self)
            refusal = None
            try:
                received = self._reader.read()
            except RefusalError as exc:
                refusal = _without_frames(exc)
            if refusal is not None:
                self._refuse(reply, refusal)
                return
            if received is None:
                return
            self._answer(received, reply)
            del received  # it refers to the memory of the body
            self._reader.release()
            if not self._prepare_next_request():
                return

    def send(self, event: Any) -> None:
        """Send an HTTP event to the caller."""
        parts = self._http.send_with_data_passthrough(event)
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            for part in parts:
                self._sock.sendall(part)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def has_unserved_bytes(self) -> bool:
        """Return whether the caller sent bytes that belong to no request yet."""
        return bool(self._http.trailing_data[0]) or self._reader.is_readable()

    def cut_off(self) -> None:
        """End the request in flight; called by the event loop."""
        if self._is_answering:
            self._greenlet.throw(CutOffError('the process ends'))

    def must_close(self) -> bool:
        """Return whether to add ``Connection: close`` to answers."""
        return self._server.draining or self._read_ahead.is_incomplete

    def begin_answer(self, headers: RawHeaders, ends_connection: bool) -> Framing:
        """Reset the connection if it closes before the answer ends, where needed.

        HTTP/1.0 has no chunks, so that the end of the connection completes an answer
        without a length.

        :param headers: headers of the answer
        :param ends_connection: whether to send an answer without a length as over
            HTTP/1.0
        :returns: how the end of the answer is marked
        """
        if any(name.lower() == b'content-length' for name, _ in headers):
            return Framing.LENGTH
        if ends_connection:
            self._http.their_http_version = b'1.0'  # h11 uses no chunks then
        if self._http.their_http_version != b'1.0':
            return Framing.CHUNKED
        self._reset_on_close = True
        self._set_linger(_LINGER_0_S)  # also if this process is killed
        return Framing.CLOSE

    def end_answer(self) -> None:
        """Close the connection in order from now on."""
        if self._reset_on_close:
            self._reset_on_close = False
            self._set_linger(_NO_LINGER)

    def close(self) -> None:
        """Close the connection; reset it if the end would complete a partial answer."""
        if not self._reset_on_close:
            with contextlib.suppress(OSError):
                self._sock.shutdown(std_socket.SHUT_RDWR)
        self._sock.close()

    def _set_linger(self, value: bytes) -> None:
        with contextlib.suppress(OSError):
            self._sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, value)

    def release(self) -> None:
        """Release all memory of the connection, which was closed."""
        self._refusal = None
        self._set_stage(Stage.REFUSED)
        self._reader.release()
        # They refer to the connection, which the garbage collector would keep.
        del self._reader, self._read_ahead, self._greenlet
        self._account.remove(self)

    # Memory.

    def enter(self, stage: Stage, count: int = 0) -> None:
        """Begin a stage of the request."""
        if stage is Stage.RUNNING:
            self._check_yielded()
            self._set_stage(stage)
            self._server.admit(self)
            count += self._account.costs.request
        self.hold(count)
        self._set_stage(stage)

    def _set_stage(self, stage: Stage) -> None:
        running = Stage.RUNNING
        self._server.running += (stage is running) - (self.stage is running)
        self.stage = stage
        self.since = self._server.clock.monotonic()

    def hold(self, count: int) -> None:
        """Set what the request takes now, without the connection itself."""
        self._check_yielded()
        self._account.resize(self, self._account.costs.connection + count)

    def reserve(self, count: int) -> bool:
        """Reserve more memory for the request that is answered.

        :param count: number of bytes
        :returns: whether there is room for them
        """
        try:
            self._account.resize(self, self.held_bytes + count)
        except NoRoomError:
            return False
        return True

    def head_bytes(self, size: int, headers: int) -> int:
        """Return what the head of a request takes, decoded and as it is forwarded."""
        return self._account.head_bytes(size, headers)

    def note_progress(self) -> None:
        """Record that bytes of the caller arrived."""
        self._check_yielded()
        self.since = self._server.clock.monotonic()

    def give_way(self, reason: str) -> None:
        """Release the memory of an unfinished request and refuse it, or close."""
        if self.stage is not Stage.BODY:
            self._server.forget(self)
            self.close()
            return
        self._reader.release()
        self._refusal = RefusalError(
            503, ResultCode.NO_CAPACITY, reason, RETRY_AFTER_S, close=True
        )
        get_hub().loop.run_callback(self._interrupt)

    def _interrupt(self) -> None:
        exc, self._refusal = self._refusal, None
        if exc is not None:
            self._greenlet.throw(exc)

    def _check_yielded(self) -> None:
        exc, self._refusal = self._refusal, None
        if exc is not None:
            raise exc

    # Answers.

    def _answer(self, received: ReceivedRequest, reply: ConnectionReply) -> None:
        try:
            with self._cancel_on_disconnect():
                self._server.handler.handle(received, reply)
        except CallerGoneError:
            raise
        except Exception as exc:
            self._server.metrics.count('internal_errors')
            trace = traceback.format_exc(limit=-LOGGED_TRACE_FRAMES)
            log_warning('internal_error', error=repr(exc), trace=trace)
            if reply.started:
                raise CallerGoneError('internal error') from exc
            reply.refuse(500, ResultCode.INTERNAL, 'internal error', close=True)

    def _refuse(self, reply: ConnectionReply, exc: RefusalError) -> None:
        self._refusal = None  # it may have had to yield at the same time
        self._reader.release()
        self._account.resize(self, self._account.costs.connection)
        self._set_stage(Stage.REFUSED)
        self._server.metrics.count('requests_refused', status=str(exc.status))
        if exc.code is not ResultCode.NO_CAPACITY:  # which the account has told
            self._log_refusal(exc)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            reply.refuse(
                exc.status,
                exc.code,
                str(exc),
                retry_after_s=exc.retry_after_s,
                close=True,
            )
            self._linger()

    def _log_refusal(self, exc: RefusalError) -> None:
        log_event(
            'request_unreadable',
            id=exc.request_id,
            status=exc.status,
            code=exc.code.name,
            reason=str(exc),
            peer=self.peer,
        )

    def _linger(self) -> None:
        """Shut down the sending side and discard what the caller still sends."""
        receiver = FairReceiver(self._sock, MAX_LINGER_BYTES)
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._sock.shutdown(std_socket.SHUT_WR)
            self._sock.settimeout(LINGER_S)
            while receiver.recv(READ_BYTES):
                pass

    def _prepare_next_request(self) -> bool:
        if self._http.our_state is h11.MUST_CLOSE or self._read_ahead.is_incomplete:
            self._set_stage(Stage.REFUSED)
            self._linger()
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        data = self._read_ahead.take()
        if data:
            self._http.receive_data(data)
        self.enter(Stage.IDLE)
        return not self._read_ahead.has_ended

    # Detecting callers that disconnect.

    @contextlib.contextmanager
    def _cancel_on_disconnect(self) -> Iterator[None]:
        """Raise :exc:`CallerGoneError` in this greenlet when the caller disconnects."""
        watcher = get_hub().loop.io(self._sock.fileno(), _EV_READ)

        def on_readable() -> None:
            reason = self._read_ahead.receive(self._sock.fileno())
            if reason is not None:
                watcher.stop()
                self._greenlet.throw(CallerGoneError(reason))

        watcher.start(on_readable)
        self._is_answering = True
        try:
            yield
        finally:
            self._is_answering = False
            watcher.stop()
            watcher.close()


class ReadAhead:
    """What a caller sends while its request is answered.

    Requests that do not fit are discarded; the connection closes after the answer then,
    and the caller has to send them again.

    :param conn: connection of the caller
    """

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self._kept = bytearray()
        self._discarded = 0
        self.has_ended = False  # the caller has closed its side
        self.is_incomplete = False

    def receive(self, descriptor: int) -> str | None:
        """Receive bytes without waiting; return why the caller counts as gone, if so.

        :param descriptor: descriptor of the connection
        """
        try:
            data = os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            data = b''
        if not data:
            self.has_ended = True
            return 'the caller disconnected'
        if not self.is_incomplete and self._keep(data):
            return None
        self.is_incomplete = True
        self._kept.clear()
        self._discarded += len(data)
        if self._discarded > MAX_LINGER_BYTES:
            return 'the caller sent too much ahead of its answer'
        return None

    def take(self) -> bytes:
        """Return the bytes that were kept."""
        data, self._kept = bytes(self._kept), bytearray()
        return data

    def _keep(self, data: bytes) -> bool:
        """Keep bytes if they fit; return whether they do."""
        if len(self._kept) + len(data) > MAX_READ_AHEAD_BYTES:
            return False
        if not self._conn.reserve(len(data)):
            return False
        self._kept += data
        return True


def _without_frames(exc: RefusalError) -> RefusalError:
    """Return an exception that does not refer to the request any more."""
    if exc.__cause__ is not None:
        exc.__cause__.__traceback__ = None  # errors of h11 refer to themselves by it
    exc.__traceback__ = exc.__cause__ = exc.__context__ = None
    return exc
