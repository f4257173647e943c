"""Calls to upstreams over HTTP, each on its own connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from rosemaryseam.common.answerhead import is_framed
from rosemaryseam.common.bodybuffer import BodyBuffer
from rosemaryseam.common.errors import UpstreamError
from rosemaryseam.common.exchange import TRANSPORT_ERRORS, Exchange, open_exchange
from rosemaryseam.node.upstreams import UpstreamCall, UpstreamClient, UpstreamExchange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.finalresponse import FinalResponse

EVENT_END = b'\n\n'
READ_BYTES = 65_536
MAX_EVENT_BYTES = 1_000_000
FREE_EVENT_BYTES = 16_384  # in the account of each request already
EVENT_COPIES = 4  # of an event on its way to the caller
STATE_HEADER = 'x-upstream-state'
LEAVING_STATE = 'leaving'


class HttpUpstreamClient(UpstreamClient):
    """Opens a new connection for each call.

    A reused connection could have been lost without notice since the last call.
    """

    def connect(self, address: Address, call: UpstreamCall) -> UpstreamExchange:
        """Open a connection for a request."""
        exchange = Exchange(address, call.connect_s, call.first_byte_s)
        try:
            exchange.connect()
        except OSError as exc:
            exchange.close()
            raise UpstreamError(f'{address}: {exc}', written=False) from exc
        return HttpUpstreamExchange(address, exchange, call)


class HttpUpstreamExchange(UpstreamExchange):
    """A request and its answer on one HTTP connection.

    :param address: address of the upstream
    :param exchange: exchange with an open connection
    :param call: the request
    """

    def __init__(
        self, address: Address, exchange: Exchange, call: UpstreamCall
    ) -> None:
        self.status = 0
        self.headers = ()
        self._address = address
        self._exchange = exchange
        self._call = call
        self._response: FinalResponse | None = None

    def send(self) -> None:
        """Write the request once and wait for the answer's head."""
        call = self._call
        try:
            self._response = self._exchange.send(
                call.method, call.path, call.body, call.headers
            )
        except TRANSPORT_ERRORS as exc:
            raise UpstreamError(f'{self._address}: {exc}', written=True) from exc
        self._exchange.set_read_timeout(call.between_bytes_s)
        self.status = self._response.status_code
        self.headers = tuple(self._response.items())
        if self._is_refusal_while_leaving():
            message = f'{self._address} is leaving'
            raise UpstreamError(message, written=True, leaving=True)

    def _is_refusal_while_leaving(self) -> bool:
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE and self._is_leaving()

    def _is_leaving(self) -> bool:
        headers = {name.lower(): value for name, value in self.headers}
        return headers.get(STATE_HEADER) == LEAVING_STATE

    def events(
        self, reserve: Callable[[int], bool] = lambda _: True
    ) -> Iterator[bytes]:
        """Yield complete server-sent events."""
        reserved = FREE_EVENT_BYTES

        def hold(size: int) -> None:
            nonlocal reserved
            if size > MAX_EVENT_BYTES:
                raise OSError('event too large')
            if size > reserved:
                added = max(size - reserved, reserved)
                if not reserve(EVENT_COPIES * added):
                    raise OSError('no memory for the event')
                reserved += added

        self._response.on_buffered = hold
        while True:
            try:
                event = self._response.readline(EVENT_END)
            except TRANSPORT_ERRORS as exc:
                raise UpstreamError(f'{self._address}: {exc}', written=True) from exc
            if not event:
                return
            yield event

    def read(
        self, limit: int, reserve: Callable[[int], bool] = lambda _: True
    ) -> bytes:
        """Read the complete body."""
        buffer = BodyBuffer()
        try:
            while part := self._response.read(READ_BYTES):
                if buffer.size + len(part) > limit:
                    raise self._error('answer too large')
                added = buffer.capacity_for(len(part)) - buffer.capacity
                if added and not reserve(added):
                    raise self._error('no memory for the answer')
                buffer.append(part)
        except TRANSPORT_ERRORS as exc:
            raise UpstreamError(f'{self._address}: {exc}', written=True) from exc
        self._check_end()
        return bytes(buffer.view())

    def _check_end(self) -> None:
        """Tell the end of an answer from that of its upstream's process.

        The kernel closes the connections of a process that crashes in order if all
        their bytes were read. Its listener is closed as well.

        :raises UpstreamError: if the upstream ended with its answer
        """
        if is_framed(self.status, self.headers) or self._is_leaving():
            return
        with open_exchange(
            self._address, self._call.connect_s, self._call.connect_s
        ) as probe:
            try:
                probe.connect()
            except ConnectionRefusedError as exc:
                raise self._error('ended with its answer') from exc
            except OSError:
                return  # it is not known to have ended

    def _error(self, reason: str) -> UpstreamError:
        return UpstreamError(f'{self._address}: {reason}', written=True)

    def cancel(self) -> None:
        """Cancel the call without blocking."""
        self._exchange.half_close()

    def close(self, wait_s: float) -> bool:
        """Close the connection; an incomplete answer is cancelled first."""
        try:
            if self._response is not None and self._response.message_complete:
                return True
            return self._exchange.wait_closed(wait_s)
        finally:
            self._exchange.close()


def open_upstream_client() -> UpstreamClient:
    """Return the HTTP client for calls to upstreams."""
    return HttpUpstreamClient()
