"""Single HTTP exchanges, each on its own connection and without automatic retries."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, NamedTuple

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.common.finalresponse import FinalResponse

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from rosemaryseam.common.addresses import Address

READ_BYTES = 4096
MAX_JOINED_BYTES = 16_384  # of a body that is sent together with its head
MAX_HEAD_BYTES = 262_144  # and what follows in the same read
MAX_ANSWER_BYTES = 16_777_216  # of one answer, head and body

TRANSPORT_ERRORS = (OSError, gevent.Timeout, HTTPParseError, ValueError)


class Answer(NamedTuple):
    """A complete HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Exchange(HTTPClient):
    """A connection that carries one request.

    The base class retries some methods on another connection. This class never
    does, so that the caller knows what was sent.

    :param address: address of the server
    :param connect_s: connection timeout in seconds
    :param read_s: timeout of each read in seconds
    """

    def __init__(self, address: Address, connect_s: float, read_s: float) -> None:
        super().__init__(
            address.ip,
            address.port,
            connection_timeout=connect_s,
            network_timeout=read_s,
        )
        self._sock = None

    def connect(self) -> None:
        """Open the connection.

        :raises OSError: the server cannot be reached in time
        """
        self._sock = self._connection_pool.get_socket()

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each following read.

        :param seconds: the timeout
        """
        self._sock.settimeout(seconds)

    def send(
        self,
        method: str,
        path: str,
        body: bytes | memoryview = b'',
        headers: Mapping[str, str] | None = None,
    ) -> FinalResponse:
        """Write the request and read the answer's head.

        :param method: the HTTP method
        :param path: path and query
        :param body: the whole body
        :param headers: additional headers
        :raises OSError: the connection failed or a read timed out
        """
        head = self._build_request(method, path, body=body, headers=headers)
        if len(body) <= MAX_JOINED_BYTES:
            self._sock.sendall(head.encode('latin-1') + bytes(body))
        else:
            self._sock.sendall(head.encode('latin-1'))
            self._sock.sendall(body)
        receiver = FairReceiver(self._sock, MAX_HEAD_BYTES)
        response = FinalResponse(receiver, method=method, block_size=READ_BYTES)
        receiver.max_bytes = MAX_ANSWER_BYTES
        return response

    def half_close(self) -> None:
        """Shut down the sending side, so that the server abandons its answer.

        A read in progress continues until the server closes its side.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def wait_closed(self, timeout_s: float) -> bool:
        """Half-close and wait until the server has closed its side too.

        :param timeout_s: seconds to wait
        :returns: whether the server closed the connection
        """
        self.half_close()
        try:
            with gevent.Timeout(timeout_s):
                while self._sock.recv(READ_BYTES):
                    pass
        except gevent.Timeout:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        super().close()


@contextlib.contextmanager
def open_exchange(
    address: Address, connect_s: float, read_s: float
) -> Iterator[Exchange]:
    """Yield an exchange and close its connection at the end.

    :param address: address of the server
    :param connect_s: connection timeout in seconds
    :param read_s: timeout of each read in seconds
    """
    exchange = Exchange(address, connect_s, read_s)
    try:
        yield exchange
    finally:
        exchange.close()


def call(
    address: Address,
    method: str,
    path: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Answer:
    """Run a complete exchange under one deadline.

    :param address: address of the server
    :param method: the HTTP method
    :param path: path and query
    :param body: the whole body
    :param headers: additional headers
    :param timeout_s: deadline for the whole exchange in seconds
    :raises OSError: the exchange failed or exceeded its deadline
    """
    try:
        with (
            gevent.Timeout(timeout_s),
            open_exchange(address, timeout_s, timeout_s) as exchange,
        ):
            exchange.connect()
            response = exchange.send(method, path, body, headers)
            data = bytes(response.read())
    except (gevent.Timeout, HTTPParseError, ValueError) as exc:
        raise OSError(f'{address}: {exc or "no answer"}') from exc
    return Answer(response.status_code, tuple(response.items()), data)
