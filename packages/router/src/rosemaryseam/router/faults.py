"""Errors of sending a request to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.errors import ResultCode, RosemaryseamError

if TYPE_CHECKING:
    from rosemaryseam.router.requests import AnswerHead


class SendError(RosemaryseamError):
    """Base class of failed attempts to run a request on an upstream."""

    code = ResultCode.UPSTREAM_FAILED


class NotSentError(SendError):
    """Raised when no byte of the request can have reached the upstream."""


class DeclinedError(SendError):
    """Raised when the upstream states that it did not run the request.

    :param message: text for the log and the caller
    :param head: head of the answer that states this
    """

    def __init__(self, message: str, head: AnswerHead) -> None:
        super().__init__(message)
        self.head = head


class BrokenError(SendError):
    """Raised when a request was sent and no complete answer arrived.

    The request may have run.
    """


class ForeignBytesError(BrokenError):
    """Raised when the upstream sent bytes that are not an answer to the request."""


class SilentError(BrokenError):
    """Raised when the upstream has stopped sending data for all of its requests."""
