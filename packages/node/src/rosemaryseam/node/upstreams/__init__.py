"""Interface for calls to upstreams."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from rosemaryseam.common.addresses import Address


class UpstreamCall(NamedTuple):
    """A request to an upstream, with its timeouts in seconds.

    ``path`` includes the query. ``connect_s`` limits the connection setup,
    ``first_byte_s`` the wait for the answer's first byte, and ``between_bytes_s`` each
    later wait for more of the answer.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | memoryview
    connect_s: float
    first_byte_s: float
    between_bytes_s: float


class UpstreamExchange(abc.ABC):
    """A request and its answer on an open connection.

    ``status`` and ``headers`` are those of the answer, set when :meth:`send` returns.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    @abc.abstractmethod
    def send(self) -> None:
        """Write the request once and wait for the answer's head.

        :raises UpstreamError: if the upstream failed, timed out or is leaving
        """

    @abc.abstractmethod
    def events(
        self, reserve: Callable[[int], bool] = lambda _: True
    ) -> Iterator[bytes]:
        """Yield complete server-sent events, each including its blank line.

        :param reserve: reserves memory in bytes, and returns whether there is room
        :raises UpstreamError: if the connection failed, a read timed out or an event
            is too large, or there is no memory for it
        """

    @abc.abstractmethod
    def read(
        self, limit: int, reserve: Callable[[int], bool] = lambda _: True
    ) -> bytes:
        """Read the complete body.

        :param limit: maximum size of the body in bytes
        :param reserve: reserves memory in bytes, and returns whether there is room
        :raises UpstreamError: if the connection failed, a read timed out or the body
            is too large, or there is no memory for it
        """

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the call without blocking.

        A read in progress fails once the upstream closes the connection.
        """

    @abc.abstractmethod
    def close(self, wait_s: float) -> bool:
        """Close the connection and cancel the call if the answer is incomplete.

        :param wait_s: seconds to wait for the upstream to confirm the cancellation
        :returns: whether the upstream has certainly ended the call
        """


class UpstreamClient(abc.ABC):
    """Opens connections to upstreams."""

    @abc.abstractmethod
    def connect(self, address: Address, call: UpstreamCall) -> UpstreamExchange:
        """Open a connection for a request without sending anything.

        :param address: address of the upstream
        :param call: the request
        :raises UpstreamError: if the upstream cannot be reached
        """
