"""HTTP/1.1 connection to an upstream, which carries one request at a time."""

from __future__ import annotations

import socket as std_socket
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent import socket

from rosemaryseam.common.answerhead import (
    InvalidHeadError,
    check_answer_head,
    check_head_bytes,
)
from rosemaryseam.common.errorkeeping import ErrorKeepingSocket
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.router.faults import (
    BrokenError,
    ForeignBytesError,
    NotSentError,
    SilentError,
)
from rosemaryseam.router.readability import readable_descriptors
from rosemaryseam.router.requests import Framing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.codec import HttpCodec
    from rosemaryseam.router.requests import AnswerHead, RawHeaders

READ_BYTES = 32_768
RECEIVE_BUFFER_BYTES = 32_768  # of which the kernel takes twice as much
MAX_INLINE_BODY_BYTES = 4096  # longer bodies are written while the answer is read
MAX_HEAD_BYTES = 65_536
EVENTS_PER_TURN = 64  # parts of an answer before other greenlets get a turn
MAX_SKIPPED_HEADS = 16  # informational or of other requests, before an answer
MAX_SKIPPED_BYTES = 1_048_576  # of bodies of answers to other requests
ABORT_CHECK_INTERVAL_S = 0.1  # between two checks whether to stop waiting for bytes
WRITE_END_S = 1.0  # for a request to be written after its answer has ended
HELD_UP_S = 0.5  # for which bytes that were read waited until they were handled
KEEP_ALIVE_MARGIN_S = 1.0  # not reused this close to the upstream's idle timeout


class ConnectionPath:
    """Is told what happens on a connection; this one ignores it.

    ``expected_s`` is the time within which the next bytes usually arrive.
    """

    expected_s = 0.0

    def on_sent(self) -> None:
        """Handle that a request was sent."""

    def on_bytes(self) -> None:
        """Handle that bytes of the upstream arrived."""

    def on_failed(self) -> None:
        """Handle that the connection broke or that the upstream fell silent."""

    def is_lost(self) -> bool:
        """Return whether no answer is expected although the upstream may be sound."""
        return False

    def on_released(self) -> None:
        """Handle that no answer is waited for any more."""


class UpstreamConnection:
    """Sends requests and reads answers on one connection.

    Its errors tell whether a request may have reached the upstream.

    :param sock: connected socket
    :param codec: decodes the heads of answers
    :param clock: clock of the process
    :param path: path that the connection takes
    """

    def __init__(
        self,
        sock: Any,
        codec: HttpCodec,
        clock: Clock,
        path: ConnectionPath | None = None,
    ) -> None:
        self._sock = ErrorKeepingSocket(sock)
        self.path = path or ConnectionPath()
        self._receiver = FairReceiver(self._sock)
        self._should_abort: Callable[[], bool] = _never
        self._aborts_while_receiving = False
        self._checked_at = 0.0
        self._returned_at = clock.monotonic()  # bytes to the one who handles them
        self._patient_until = 0.0
        self._codec = codec
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._writer: gevent.Greenlet | None = None
        self.write_error: OSError | None = None  # of the request in the background
        self._sent_events: list[Any] = []
        self._head: AnswerHead | None = None
        self._skipped_bytes = 0
        self._events = 0
        self._names_requests = False  # in the answers on this connection
        self.opened_at = clock.monotonic()
        self.requests_served = 0
        self.last_used = clock.monotonic()
        self.keep_alive_timeout_s: float | None = None

    def is_reusable(self) -> bool:
        """Return whether the upstream sent no unrequested bytes and has not closed."""
        descriptor = self.fileno()
        return descriptor not in readable_descriptors([descriptor]) and (
            not self.has_trailing_data()
        )

    def has_trailing_data(self) -> bool:
        """Return whether bytes were read behind the last answer."""
        return bool(self._http.trailing_data[0])

    def fileno(self) -> int:
        """Return the descriptor of the socket, a negative number once it is closed."""
        return self._sock.fileno()

    def has_unread_bytes(self) -> bool:
        """Return whether there are bytes of the upstream to read, or an error."""
        descriptor = self.fileno()
        if descriptor not in readable_descriptors([descriptor]):
            return False
        try:
            return bool(self._sock.recv(1, std_socket.MSG_PEEK))
        except OSError:
            return True

    def has_written(self) -> bool:
        """Return whether the request was written to its end."""
        return self.write_error is None and (
            self._writer is None or self._writer.successful()
        )

    def idle_s(self) -> float:
        """Return the time since the last answer was complete, in seconds."""
        return self._clock.monotonic() - self.last_used

    def is_expired(self) -> bool:
        """Return whether the upstream may close the connection as idle at any time."""
        limit = self.keep_alive_timeout_s
        return limit is not None and self.idle_s() > limit - KEEP_ALIVE_MARGIN_S

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes | memoryview,
    ) -> None:
        """Send a request.

        A request with a body above :data:`MAX_INLINE_BODY_BYTES` is written in the
        background, so that an answer that arrives early is read.

        :param method: HTTP method
        :param target: path and query as the caller sent them
        :param headers: all headers, ``Host`` first
        :param body: complete body
        :raises BrokenError: if the connection failed; some bytes may have arrived
        """
        self._head = None
        self._sent_events = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            self._sent_events.append(h11.Data(data=body))
        self._sent_events.append(h11.EndOfMessage())
        parts = self._encode()
        self.path.on_sent()
        if len(body) <= MAX_INLINE_BODY_BYTES:
            self._write(b''.join(parts))
        else:
            self._writer = gevent.spawn(self._write_ignoring_errors, parts)

    def set_abort_check(
        self,
        should_abort: Callable[[], bool],
        *,
        while_receiving: bool,
    ) -> None:
        """Set a function that is called periodically while waiting for the answer.

        :param should_abort: returns whether to stop waiting for the upstream
        :param while_receiving: whether to call it also while bytes arrive
        """
        self._should_abort = should_abort
        self._aborts_while_receiving = while_receiving
        self._checked_at = self._returned_at = self._clock.monotonic()

    def read_head(self, request_id: str) -> AnswerHead:
        """Return the head of the answer; skip some answers to other requests.

        The upstream is leaving if any of these heads says so.

        :param request_id: id of the request, which the answer must echo if it or an
            answer before it on this connection has one
        :raises BrokenError: if no answer arrived
        """
        leaving = False
        self._skipped_bytes = 0
        for _ in range(MAX_SKIPPED_HEADS + 1):
            event = self._next_event()
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise ForeignBytesError('the connection ended without an answer')
            version = f'HTTP/{event.http_version.decode()}'
            try:
                check_answer_head(event.status_code, version, None)
            except InvalidHeadError as exc:
                raise ForeignBytesError(f'not an HTTP answer: {exc}') from exc
            head = self._codec.decode_answer(
                event.status_code, event.reason, list(event.headers.raw_items())
            )
            leaving = leaving or head.leaving
            if isinstance(event, h11.InformationalResponse):
                continue
            if self._is_bodyless(head):
                head = head._replace(framing=Framing.LENGTH)
            if self._is_of_request(head, request_id):
                self._names_requests = head.request_id is not None
                self._head = head._replace(leaving=leaving)
                return self._head
            self._skip_answer()
        raise ForeignBytesError('too many heads before the answer')

    def chunks(self) -> Iterator[bytes]:
        """Yield the parts of the answer's body as they arrive.

        :raises BrokenError: if the answer is truncated
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise BrokenError('the answer ended early')

    def prepare_reuse(self) -> bool:
        """Prepare for another request; return whether the connection can be reused."""
        if self._writer is not None and not self._writer.ready():
            return False
        if (
            self._head is None
            or self._head.closes_connection
            or self._http.trailing_data[0]
        ):
            return False
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.keep_alive_timeout_s = self._head.keep_alive_timeout_s
        self.requests_served += 1
        self.last_used = self._clock.monotonic()
        self._writer = None
        self._sent_events = []  # they refer to the body
        self._should_abort = _never
        self._aborts_while_receiving = False
        self.path.on_released()
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.kill(block=False)
        self._sent_events = []
        self.path.on_released()
        self._sock.close()

    def _is_bodyless(self, head: AnswerHead) -> bool:
        """Return whether an answer ends with its head, whatever its headers say."""
        return self._sent_events[0].method == b'HEAD' or head.status in (204, 304)

    def _is_of_request(self, head: AnswerHead, request_id: str) -> bool:
        """Return whether an answer is one to the request.

        An upstream that has named the request before in its answers on this connection
        does so in each of them.
        """
        if head.request_id is None:
            return not self._names_requests
        return head.request_id == request_id

    def _skip_answer(self) -> None:
        """Read an answer to another request to its end and reset the HTTP state."""
        for chunk in self.chunks():
            self._skipped_bytes += len(chunk)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise ForeignBytesError('the answer to another request is too long')
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._encode()
        if rest:  # passing empty bytes would mean end of file
            self._http.receive_data(rest)

    def _encode(self) -> list[bytes | memoryview]:
        """Return the parts of the request; the body is not copied."""
        parts: list[bytes | memoryview] = []
        for event in self._sent_events:
            parts += self._http.send_with_data_passthrough(event)
        return parts

    def _next_event(self) -> Any:
        while True:
            try:
                if self._http.their_state is h11.SEND_RESPONSE:
                    check_head_bytes(self._http.trailing_data[0])
                event = self._http.next_event()
            except (h11.RemoteProtocolError, InvalidHeadError) as exc:
                raise ForeignBytesError(f'not an HTTP answer: {exc}') from exc
            if event is not h11.NEED_DATA:
                self._events += 1
                if self._events % EVENTS_PER_TURN == 0:
                    gevent.sleep(0)  # one read may bring thousands of small parts
                return event
            data = self._receive()
            if not data:
                self._check_written()
            self._http.receive_data(data)

    def _check_written(self) -> None:
        """Check that an upstream whose connection ends its answer read the request.

        :raises BrokenError: if it did not
        """
        if self._head is None or self._head.framing is not Framing.CLOSE:
            return
        if self._writer is not None:
            self._writer.join(WRITE_END_S)
        if not self.has_written():
            self.path.on_failed()
            raise BrokenError('the connection ended before the request was written')

    def _receive(self) -> bytes:
        if self._must_check() and self._should_abort():
            self.path.on_failed()
            raise SilentError('the upstream fell silent')
        while True:
            data = None
            try:
                with gevent.Timeout(ABORT_CHECK_INTERVAL_S, False):
                    data = self._receiver.recv(READ_BYTES)
            except OSError as exc:
                self.path.on_failed()
                raise BrokenError(f'the connection failed: {exc}') from exc
            if data is not None:
                self._returned_at = self._clock.monotonic()
                if data:
                    self.path.on_bytes()
                return data
            # Bytes that arrived while this process had no turn are read first.
            if self._is_patient() or self.has_unread_bytes():
                continue
            if self._should_abort():
                self.path.on_failed()
                raise SilentError('the upstream fell silent')

    def _must_check(self) -> bool:
        """Return whether to ask if an upstream that sends bytes is worth waiting for.

        It is asked when all bytes that were read have been handled.
        """
        now = self._clock.monotonic()
        if now - self._returned_at > HELD_UP_S:
            # The upstream had to wait too, for the caller or a turn of this process.
            self._patient_until = now + HELD_UP_S
        if not self._aborts_while_receiving or self._is_patient():
            return False
        if now - self._checked_at < ABORT_CHECK_INTERVAL_S:
            return False
        self._checked_at = now
        return True

    def _is_patient(self) -> bool:
        """Return whether the upstream gets time to send after it was held up."""
        return self._clock.monotonic() < self._patient_until

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as exc:
            self.path.on_failed()
            raise BrokenError(f'the connection failed: {exc}') from exc

    def _write_ignoring_errors(self, parts: list[bytes | memoryview]) -> None:
        """Write; a failure is raised when the answer is read."""
        try:
            for part in parts:
                self._sock.sendall(part)
        except OSError as exc:
            self.write_error = exc


def _never() -> bool:
    return False


def connect_socket(address: Address, timeout_s: float) -> Any:
    """Return a socket that is connected to an upstream.

    The socket sets neither keep-alive nor ``TCP_USER_TIMEOUT``. Requests have deadlines
    and silent upstreams are noticed by the bytes of all of them, both within seconds,
    which is sooner than probes could tell. A user timeout would also end connections to
    sound upstreams that pause or whose answers wait for a slow caller.

    :param address: address of the upstream
    :param timeout_s: timeout for connecting, in seconds
    :raises NotSentError: if no connection was established
    """
    try:
        sock = socket.create_connection(tuple(address), timeout=timeout_s)
    except OSError as exc:
        raise NotSentError(f'cannot connect to {address}: {exc}') from exc
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    # Buffers that the kernel sizes itself grow to several MB if a caller reads slowly.
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(None)
    return sock
