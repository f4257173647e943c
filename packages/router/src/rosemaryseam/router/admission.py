"""A request on its way: what is allowed, what was tried, and how it is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.errors import ResultCode
    from rosemaryseam.router.faults import SendError
    from rosemaryseam.router.requests import AnswerHead, CallerRequest
    from rosemaryseam.router.routes import Route, Service, Workspace


class AdmittedRequest(NamedTuple):
    """A request that is allowed to run."""

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    version: int
    expires_at: float

    @property
    def workspace_rank(self) -> int | None:
        """The rank of the workspace, 0 first, when it has one."""
        return None if self.workspace is None else self.workspace.rank


class AttemptHistory:
    """What happened to a request so far."""

    def __init__(self) -> None:
        self.arrivals = 0  # times that an upstream got the request
        self.runs = 0  # times that it may have run
        self.excluded: frozenset[str] = frozenset()
        self.failure: SendError | None = None
        self.kept_answer: tuple[AnswerHead, bytes] | None = None


class RefusalError(Exception):
    """A request that ends with an answer of the router's own."""

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
