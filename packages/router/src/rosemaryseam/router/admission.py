"""Admitted requests, the history of their attempts, and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.errors import ResultCode
    from rosemaryseam.router.faults import SendError
    from rosemaryseam.router.requests import AnswerHead, CallerRequest
    from rosemaryseam.router.routes import Route, Service, Workspace
    from rosemaryseam.router.silence import OpenAnswer


class AdmittedRequest(NamedTuple):
    """A request that is authorized and routed to a service.

    ``version`` is the version of the configuration that was used. ``expires_at`` is the
    end of the caller's timeout, in seconds on the monotonic clock.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    version: int
    expires_at: float

    @property
    def workspace_rank(self) -> int | None:
        """Rank of the workspace, 0 first, or ``None`` if there is none."""
        return None if self.workspace is None else self.workspace.rank


class AttemptHistory:
    """Records the attempts to serve a request."""

    def __init__(self) -> None:
        self.arrivals = 0  # attempts that reached an upstream
        self.sent_at = 0.0  # monotonic time of the latest of them
        self.counted = False  # as usage of its workspace
        self.reserved_at: float | None = None  # a retry that was not sent yet
        self.runs = 0  # attempts that may have run
        self.excluded: frozenset[str] = frozenset()
        self.path_failures = 0  # while this host was cut off from the upstream
        self.failure: SendError | None = None
        # The last 5xx answer, which is relayed if no further attempt is made.
        self.error_answer: tuple[AnswerHead, bytes] | None = None
        self.retry_after_s: float | None = None  # when no upstream wants requests now
        # The answer of an upstream that takes over from a silent one.
        self.successor: OpenAnswer | None = None


class RefusalError(Exception):
    """Raised for a request that the router answers itself with an error.

    :param status: HTTP status of the answer
    :param code: result code of the answer
    :param message: text for the answer and the log
    :param retry_after_s: delay in seconds after which the caller can retry
    :param close: whether the answer asks the caller to close the connection

    ``request_id`` is the id of the request, if its head was read.
    """

    request_id: str | None = None

    def __init__(
        self,
        status: int,
        code: ResultCode,
        message: str,
        retry_after_s: float | None = None,
        *,
        close: bool = False,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
        self.close = close
