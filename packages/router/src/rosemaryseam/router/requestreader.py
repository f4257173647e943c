"""Reads requests from a caller's connection within the limits on callers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import gevent
import h11

from rosemaryseam.common.bodybuffer import BodyBuffer
from rosemaryseam.common.calleraccount import NoRoomError, Stage
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.router.admission import RefusalError
from rosemaryseam.router.codec import RequestHead
from rosemaryseam.router.readability import readable_descriptors
from rosemaryseam.router.reply import CallerGoneError
from rosemaryseam.router.requesthandler import ReceivedRequest

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.requesthandler import RequestHandler
    from rosemaryseam.router.requests import RawHeaders
    from rosemaryseam.router.routes import CallerLimits

HEAD_READ_BYTES = 16_384  # what follows a head in the same read stays in memory
BODY_READ_BYTES = 65_536
CHUNK_READ_BYTES = 16_384  # of a body without a length, whose end is not known
PARTS_PER_TURN = 32  # of a body before other greenlets get a turn
SMALL_BODY_BYTES = 65_536  # read to its end also if its request is refused
UNCHECKED_S = 0.1  # for which a small body may arrive before its head is checked
RETRY_AFTER_S = 0.5  # for callers that are refused because of others


class ReadingConnection(abc.ABC):
    """What a reader needs of the connection that it reads from."""

    @abc.abstractmethod
    def enter(self, stage: Stage, count: int = 0) -> None:
        """Begin a stage of the request.

        :param stage: the stage
        :param count: bytes that the request takes now, without the connection itself
        :raises NoRoomError: if there is no memory for them
        """

    @abc.abstractmethod
    def hold(self, count: int) -> None:
        """Set what the request takes now, without the connection itself.

        :param count: number of bytes
        :raises NoRoomError: if there is no memory for them
        """

    @abc.abstractmethod
    def note_progress(self) -> None:
        """Record that bytes of the caller arrived.

        :raises RefusalError: if the request had to yield meanwhile
        """

    @abc.abstractmethod
    def send(self, event: Any) -> None:
        """Send an HTTP event to the caller.

        :param event: h11 event
        :raises CallerGoneError: if the caller has disconnected or does not read
        """

    @abc.abstractmethod
    def head_bytes(self, size: int, headers: int) -> int:
        """Return what the head of a request takes, decoded and as it is forwarded.

        :param size: size of the head in bytes
        :param headers: number of its headers
        """


class RequestReader:
    """Reads one request after the other.

    :param conn: connection of the caller
    :param sock: its socket
    :param http: state of HTTP on the connection
    :param limits: size and time limits for callers
    :param handler: checks requests by their heads
    :param clock: clock of the process
    """

    def __init__(
        self,
        conn: ReadingConnection,
        sock: Any,
        http: h11.Connection,
        limits: CallerLimits,
        handler: RequestHandler,
        clock: Clock,
    ) -> None:
        self._conn = conn
        self._sock = sock
        self._http = http
        self._limits = limits
        self._handler = handler
        self._clock = clock
        self._receiver = FairReceiver(sock)
        self._head: RequestHead | None = None
        self._body: BodyBuffer | None = None
        self._expires_at: float | None = None  # once the head was checked
        self._head_bytes = 0  # what the head and what came with it take in memory

    def read(self) -> ReceivedRequest | None:
        """Return the next request, or ``None`` if no complete head came.

        :raises RefusalError: if the request is refused
        :raises CallerGoneError: if the caller disconnected in its body
        """
        try:
            # Other references to the head would keep it when the request has to yield.
            self._head = self._read_head()
            if self._head is None:
                return None
            arrived = self._clock.monotonic()
            _check_framing(self._head.headers)
            self._measure_head(self._head)
            body = self._read_body(arrived)
            self._conn.enter(Stage.RUNNING, self._head_bytes + self._capacity())
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            raise _refusal(status, ResultCode.BAD_REQUEST, str(exc)) from exc
        except NoRoomError as exc:
            raise _refusal(
                503, ResultCode.NO_CAPACITY, str(exc), RETRY_AFTER_S
            ) from exc
        head, self._head = self._head, None
        return ReceivedRequest(head, body, arrived)

    def release(self) -> None:
        """Free the memory of the request."""
        self._head = None
        body, self._body = self._body, None
        if body is not None:
            body.release()

    def is_readable(self) -> bool:
        """Return whether the caller sent bytes, or the end, that were not received."""
        descriptor = self._sock.fileno()
        return descriptor >= 0 and descriptor in readable_descriptors([descriptor])

    # Heads.

    def _read_head(self) -> RequestHead | None:
        """Return the head of the next request, or ``None`` if no complete one came."""
        deadline = None
        buffered = len(self._http.trailing_data[0])
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                headers = list(event.headers.raw_items())
                return RequestHead(event.method, event.target, headers)
            if event is not h11.NEED_DATA:
                return None
            if buffered and deadline is None:
                deadline = self._clock.monotonic() + self._limits.head_s
                self._conn.enter(Stage.HEAD, buffered)
            elif buffered:
                self._conn.hold(buffered)
            received = self._receive_head_bytes(deadline)
            if received is None:
                return None
            buffered += received

    def _receive_head_bytes(self, deadline: float | None) -> int | None:
        """Return the number of received bytes, or ``None`` if none came in time."""
        wait = self._limits.idle_s
        if deadline is not None:
            wait = deadline - self._clock.monotonic()
        try:
            if wait <= 0:
                return None
            try:
                return self._receive(HEAD_READ_BYTES, wait)
            except TimeoutError:
                # The bytes may have come in the turn in which the wait ended.
                if not self.is_readable():
                    return None
                return self._receive(HEAD_READ_BYTES, wait)
        except OSError:
            return None

    def _measure_head(self, head: RequestHead) -> None:
        """Set what the head takes in memory."""
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) + 3 for name, value in head.headers)
        if size > self._limits.head_bytes:
            raise _refusal(431, ResultCode.BAD_REQUEST, 'the head is too large')
        self._head_bytes = self._conn.head_bytes(size, len(head.headers))
        self._head_bytes += len(self._http.trailing_data[0])  # read behind it

    # Bodies.

    def _read_body(self, arrived: float) -> bytes | memoryview:
        length = _stated_length(self._head.headers)
        if length is not None and length > self._limits.body_bytes:
            raise _body_too_large()
        if length is not None and length <= len(self._http.trailing_data[0]):
            return self._take_body()
        self._conn.enter(Stage.BODY, self._head_bytes)
        self._expires_at = None
        if length is not None:
            self._check_head(arrived, length)
            self._begin_body(length)
        parts = 0
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b'' if self._body is None else self._body.view()
            if isinstance(event, h11.Data):
                self._append(event.data)
                parts += 1
                if parts % PARTS_PER_TURN == 0:
                    gevent.sleep(0)  # one read may bring thousands of small chunks
                    self._conn.note_progress()
                continue
            if event is not h11.NEED_DATA:
                raise CallerGoneError('the caller disconnected while sending the body')
            self._check_head(arrived, length)
            self._receive_body_bytes(length, arrived)

    def _take_body(self) -> bytes:
        """Return a body that was received together with its head."""
        body = b''
        while not isinstance(event := self._http.next_event(), h11.EndOfMessage):
            body += bytes(event.data)
        return body

    def _check_head(self, arrived: float, length: int | None) -> None:
        """Refuse a request if its head tells so, before its body is read.

        A small body is read first, so that the connection can be used again, and most
        of them have arrived before it is worth to look at the head.
        """
        waits = self._http.they_are_waiting_for_100_continue
        is_small = length is not None and length <= SMALL_BODY_BYTES and not waits
        is_new = self._clock.monotonic() - arrived < UNCHECKED_S
        if self._expires_at is not None or (is_small and is_new):
            return
        try:
            self._expires_at = self._handler.check_head(self._head, arrived)
        except RefusalError as exc:
            if not is_small:
                exc.close = True
                raise
            self._expires_at = arrived + self._limits.idle_s

    def _begin_body(self, size: int) -> BodyBuffer:
        """Reserve memory for a body of a stated length before it is received."""
        self._conn.hold(self._head_bytes + size)
        self._body = BodyBuffer(size)
        return self._body

    def _append(self, data: bytes | bytearray) -> None:
        """Add a part to the body within the limits on its size and on memory."""
        body = self._body or self._begin_body(0)
        if body.size + len(data) > self._limits.body_bytes:
            raise _body_too_large()
        capacity = body.capacity_for(len(data))
        if capacity > body.capacity:
            self._conn.hold(self._head_bytes + capacity)
        body.append(data)

    def _capacity(self) -> int:
        return 0 if self._body is None else self._body.capacity

    def _receive_body_bytes(self, length: int | None, arrived: float) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._conn.send(h11.InformationalResponse(status_code=100, headers=[]))
        size = CHUNK_READ_BYTES
        if length is not None:
            # Nothing behind the body is read before the request is answered.
            size = min(BODY_READ_BYTES, length - self._body.size)
        until = self._expires_at
        if until is None:
            until = arrived + UNCHECKED_S
        wait_s = min(self._limits.idle_s, until - self._clock.monotonic())
        try:
            if wait_s <= 0:
                raise TimeoutError
            self._receive(size, wait_s)
        except TimeoutError as exc:
            if self._expires_at is None:
                return
            raise _refusal(
                408,
                ResultCode.BAD_REQUEST,
                'the body did not arrive in time',
                RETRY_AFTER_S,
            ) from exc
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def _receive(self, size: int, wait_s: float) -> int:
        self._sock.settimeout(wait_s)
        data = self._receiver.recv(size)
        self._conn.note_progress()
        self._http.receive_data(data)
        return len(data)


def _refusal(
    status: int, code: ResultCode, message: str, retry_after_s: float | None = None
) -> RefusalError:
    return RefusalError(status, code, message, retry_after_s, close=True)


def _body_too_large() -> RefusalError:
    return _refusal(413, ResultCode.BODY_TOO_LARGE, 'the body is too large')


def _stated_length(headers: RawHeaders) -> int | None:
    """Return the length of the body, ``None`` if it is sent in chunks."""
    for name, value in headers:
        lowered = name.lower()
        if lowered == b'transfer-encoding':
            return None
        if lowered == b'content-length':
            return int(value)  # checked by the HTTP library
    return 0


def _check_framing(headers: RawHeaders) -> None:
    """Refuse a request with ambiguous framing or more than one host."""
    names = [name.lower() for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise _refusal(
            400, ResultCode.BAD_REQUEST, 'both a length and a transfer encoding'
        )
    if names.count(b'host') > 1:
        raise _refusal(400, ResultCode.BAD_REQUEST, 'more than one host')
