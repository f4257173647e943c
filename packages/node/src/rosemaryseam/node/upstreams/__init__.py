"""Calls to upstreams: the interface and the values it takes and returns."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from rosemaryseam.common.addresses import Address


class UpstreamCall(NamedTuple):
    """A request as it goes to an upstream. Times are in seconds."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    connect_s: float
    first_byte_s: float
    between_bytes_s: float


class UpstreamExchange(abc.ABC):
    """One request and its answer on an open connection.

    ``status`` and ``headers`` are those of the answer, once :meth:`send` returned.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    @abc.abstractmethod
    def send(self) -> None:
        """Write the request once and wait for the answer's head.

        :raises UpstreamError: the upstream failed, went silent or is leaving
        """

    @abc.abstractmethod
    def events(self) -> Iterator[bytes]:
        """Yield whole server-sent events, each with its blank line.

        :raises UpstreamError: the stream broke or went silent
        """

    @abc.abstractmethod
    def read(self, limit: int) -> bytes:
        """Return the whole body.

        :param limit: the most bytes to accept
        :raises UpstreamError: the body broke, went silent or is too large
        """

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the call without blocking; a read fails once the upstream closes."""

    @abc.abstractmethod
    def close(self, wait_s: float) -> bool:
        """End the call; an answer that is not complete is cancelled.

        :param wait_s: how long the upstream may take to confirm a cancellation
        :returns: whether the upstream is known to be done with the call
        """


class UpstreamClient(abc.ABC):
    """Opens connections to upstreams."""

    @abc.abstractmethod
    def connect(self, address: Address, call: UpstreamCall) -> UpstreamExchange:
        """Open a connection for a request; nothing is written yet.

        :param address: of the upstream
        :param call: the request
        :raises UpstreamError: the upstream cannot be reached
        """
