"""Relays answers of upstreams, so that a truncated one is seen as incomplete."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from rosemaryseam.common.bodybuffer import BodyBuffer
from rosemaryseam.router.events import EventSplitter, EventTooLongError
from rosemaryseam.router.faults import BrokenError, ForeignBytesError
from rosemaryseam.router.headercodec import CONNECTION_HEADERS, connection_options
from rosemaryseam.router.requests import Framing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.router.placement import Ticket
    from rosemaryseam.router.reply import Reply
    from rosemaryseam.router.requests import AnswerHead, RawHeaders
    from rosemaryseam.router.upstreams import Upstream

EVENT_BYTES = 65_536  # of memory that is reserved at a time for an unfinished event
MAX_BUFFERED_ANSWER_BYTES = 262_144  # longer answers are relayed while they arrive
EVENT_STREAM = b'text/event-stream'
_DROPPED_HEADERS = CONNECTION_HEADERS - {b'content-length'}


def relay_answer(
    head: AnswerHead, chunks: Iterator[bytes], reply: Reply, *, bodyless: bool
) -> None:
    """Relay an answer that is not an event stream.

    An answer of up to :data:`MAX_BUFFERED_ANSWER_BYTES` is read completely before
    anything is written, so that the request can be retried if the answer is truncated.
    Without memory for that, it is written while it arrives.

    :param head: head of the upstream's answer
    :param chunks: body of the upstream's answer
    :param reply: answer to the caller
    :param bodyless: whether the request's method allows no body in the answer
    :raises BrokenError: if the upstream's answer is truncated
    """
    buffer = AnswerBuffer(reply.reserve)
    for chunk in chunks:
        if not buffer.add(chunk):
            break
    else:
        _start_whole(head, buffer.size, reply, bodyless=bodyless)
        reply.write(buffer.take())
        reply.finish()
        return
    _relay_unbuffered(head, buffer, itertools.chain((chunk,), chunks), reply)


def read_body(chunks: Iterator[bytes], reserve: Callable[[int], bool]) -> bytes:
    """Return a body of up to :data:`MAX_BUFFERED_ANSWER_BYTES`.

    :param chunks: body of the upstream's answer
    :param reserve: reserves memory in bytes, and returns whether there is room
    :raises ForeignBytesError: if the body is longer, or there is no memory for it
    """
    buffer = AnswerBuffer(reserve)
    for chunk in chunks:
        if not buffer.add(chunk):
            raise ForeignBytesError('there is no room for the body of a failure')
    return buffer.take()


def _relay_unbuffered(
    head: AnswerHead, buffer: AnswerBuffer, chunks: Iterator[bytes], reply: Reply
) -> None:
    ends_connection = head.framing is Framing.CLOSE
    reply.start(
        head.status,
        head.reason,
        end_to_end_headers(head),
        ends_connection=ends_connection,
    )
    reply.write(buffer.take())
    try:
        for chunk in chunks:
            reply.write(chunk)
    except BrokenError:
        reply.abort()
        raise
    reply.finish()


class AnswerBuffer:
    """The beginning of an answer, up to :data:`MAX_BUFFERED_ANSWER_BYTES`.

    :param reserve: reserves memory in bytes, and returns whether there is room
    """

    def __init__(self, reserve: Callable[[int], bool]) -> None:
        self._reserve = reserve
        self._buffer = BodyBuffer()

    def add(self, data: bytes) -> bool:
        """Add bytes; return whether there is room for them.

        :param data: next bytes of the answer
        """
        buffer = self._buffer
        if buffer.size + len(data) > MAX_BUFFERED_ANSWER_BYTES:
            return False
        added = buffer.capacity_for(len(data)) - buffer.capacity
        if added and not self._reserve(added):
            return False
        buffer.append(data)
        return True

    @property
    def size(self) -> int:
        """The number of bytes."""
        return self._buffer.size

    def take(self) -> bytes:
        """Return the bytes, which are not kept any more."""
        data = bytes(self._buffer.view())
        self._buffer = BodyBuffer()
        return data


class StreamRelay:
    """Relays complete events of one stream, which several upstreams may continue.

    :param reply: answer to the caller
    :param on_begin: called with the upstream whose event is relayed first
    """

    def __init__(
        self, reply: Reply, on_begin: Callable[[Upstream], None] = lambda _: None
    ) -> None:
        self._reply = reply
        self._on_begin = on_begin
        self.version: str | None = None  # of the software that began the stream
        self._first_head: AnswerHead | None = None  # that the caller has
        self.last_event_id: bytes | None = None
        self._reserved_bytes = EVENT_BYTES  # included in each request
        self.event_count = 0
        self.unfinished_bytes = 0  # after the last complete event, at the end

    @property
    def started(self) -> bool:
        """Whether the answer to the caller has begun."""
        return self._reply.started

    def may_go_on_with(self, head: AnswerHead) -> bool:
        """Return whether an answer is of the kind that the caller has begun to read.

        :param head: head of the answer of another upstream
        """
        first = self._first_head
        if first is None:
            return True
        return (head.status, head.media_type) == (first.status, first.media_type)

    def relay_stream(
        self, head: AnswerHead, chunks: Iterator[bytes], ticket: Ticket
    ) -> None:
        """Relay one upstream's stream to its end.

        The caller keeps the head from the first upstream when another one continues
        the stream.

        :param head: head of the upstream's answer
        :param chunks: body of the upstream's answer
        :param ticket: ticket of the request, notified of each event
        :raises BrokenError: if the upstream's answer is truncated
        """
        splitter = EventSplitter()
        must_go_on = self._reply.started
        for chunk in chunks:
            try:
                events = splitter.feed(chunk)
            except EventTooLongError as exc:
                raise ForeignBytesError(str(exc)) from exc
            self._reserve(splitter.buffered_bytes)
            data = b''.join([event.data for event in events if self._is_new(event.id)])
            for _ in events:
                ticket.on_event()
            if data:
                self._start(head, ticket)
                self.event_count += len(events)
                self._reply.write(data)
                must_go_on = False
        self.unfinished_bytes = len(splitter.remainder)
        _check_end(head, splitter)
        if must_go_on:
            raise BrokenError('the stream did not go on')
        self._start(head, ticket)
        if head.framing is Framing.CLOSE and self._reply.framing is Framing.CHUNKED:
            raise BrokenError('nothing states the end of the stream')
        if splitter.remainder:
            self._reply.write(splitter.remainder)
        self._reply.finish()

    def reserve(self, count: int) -> bool:
        """Reserve memory for parts of an answer that are not relayed yet.

        :param count: number of bytes
        :returns: whether there is room for them
        """
        return self._reply.reserve(count)

    def _reserve(self, count: int) -> None:
        """Reserve memory for an unfinished event.

        :param count: number of its bytes so far
        :raises ForeignBytesError: if there is no room for it
        """
        while count > self._reserved_bytes:
            if not self.reserve(EVENT_BYTES):
                raise ForeignBytesError('there is no memory for an unfinished event')
            self._reserved_bytes += EVENT_BYTES

    def _start(self, head: AnswerHead, ticket: Ticket) -> None:
        if not self._reply.started:
            if self.version is None:
                self.version = ticket.upstream.version
            self._first_head = head
            self._on_begin(ticket.upstream)
            # The length of one upstream's answer is not that of a resumed stream.
            headers = _without_length(end_to_end_headers(head))
            self._reply.start(
                head.status,
                head.reason,
                headers,
                ends_connection=head.framing is Framing.CLOSE,
            )

    def _is_new(self, event_id: bytes | None) -> bool:
        """Return whether an event was not relayed before, and store its id if so."""
        if event_id is None:
            return True
        last = self.last_event_id
        if last is not None and _event_number(event_id) <= _event_number(last):
            return False
        self.last_event_id = event_id
        return True


def _check_end(head: AnswerHead, splitter: EventSplitter) -> None:
    """Check that a stream ended after a complete event, however its body ends.

    :raises BrokenError: if the stream was broken off
    """
    if head.media_type != EVENT_STREAM and not splitter.event_count:
        return
    if splitter.inside_event:
        raise BrokenError('the stream ended inside an event')
    if head.framing is Framing.CLOSE and not splitter.event_count:
        raise BrokenError('the connection closed before the first event')


def end_to_end_headers(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer without hop-by-hop headers.

    :param head: head of the upstream's answer
    """
    dropped = _DROPPED_HEADERS | connection_options(head.headers)
    return [entry for entry in head.headers if entry[0].lower() not in dropped]


def _start_whole(
    head: AnswerHead, body_bytes: int, reply: Reply, *, bodyless: bool
) -> None:
    """Begin an answer whose body was read; state no length that its upstream did not.

    A length tells a caller that the body is whole.
    """
    headers = end_to_end_headers(head)
    ends_connection = False
    if not bodyless and head.status not in (204, 304):
        headers = _without_length(headers)
        ends_connection = head.framing is Framing.CLOSE
        if not ends_connection:
            headers.append((b'Content-Length', str(body_bytes).encode()))
    reply.start(head.status, head.reason, headers, ends_connection=ends_connection)


def _without_length(headers: RawHeaders) -> RawHeaders:
    return [entry for entry in headers if entry[0].lower() != b'content-length']


def _event_number(event_id: bytes) -> int:
    try:
        return int(event_id)
    except ValueError:
        return -1
