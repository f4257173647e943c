"""Interface between the server for callers and what answers their requests."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.router.codec import RequestHead
    from rosemaryseam.router.reply import Reply


class ReceivedRequest(NamedTuple):
    """A complete request as read from a connection.

    ``body`` is valid until the request is answered. ``arrived`` is the time on the
    monotonic clock at which the head was complete.
    """

    head: RequestHead
    body: bytes | memoryview
    arrived: float


class RequestHandler(abc.ABC):
    """Answers the requests that a server for callers reads."""

    @abc.abstractmethod
    def check_head(self, head: RequestHead, arrived: float) -> float:
        """Check a request before its body is read.

        :param head: head of the request
        :param arrived: monotonic time at which the head was complete
        :returns: the monotonic time at which the request expires
        :raises RefusalError: if the head tells that the request is refused
        """

    @abc.abstractmethod
    def handle(self, received: ReceivedRequest, reply: Reply) -> None:
        """Answer one request.

        :param received: request as read from the connection
        :param reply: answer to the caller
        :raises CallerGoneError: if the caller disconnected or the answer was aborted
        """
