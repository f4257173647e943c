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


class UpstreamAnswer(abc.ABC):
    """An answer whose head has arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]

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
    def interrupt(self) -> None:
        """Make a read in another greenlet fail; does not block."""

    @abc.abstractmethod
    def close(self, wait_s: float) -> bool:
        """End the call; an answer that is not complete is cancelled.

        :param wait_s: how long the upstream may take to confirm a cancellation
        :returns: whether the upstream is known to be done with the call
        """


class UpstreamClient(abc.ABC):
    """Opens calls to upstreams."""

    @abc.abstractmethod
    def open(self, address: Address, call: UpstreamCall) -> UpstreamAnswer:
        """Send a request once and wait for the answer's head.

        :param address: of the upstream
        :param call: the request
        :raises UpstreamError: tells whether a byte was written
        """
