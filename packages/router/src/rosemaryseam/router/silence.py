"""Watches a silent upstream until it goes on or another one has taken over."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.router.faults import BrokenError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.placement import Ticket
    from rosemaryseam.router.requests import AnswerHead
    from rosemaryseam.router.upstreamconnection import UpstreamConnection
    from rosemaryseam.router.upstreams import Registry

TAKEOVER_INTERVAL_S = 0.5  # at least, between two attempts to have another take over


class OpenAnswer(NamedTuple):
    """An answer whose head has arrived; ``chunks`` yields the parts of its body."""

    ticket: Ticket
    conn: UpstreamConnection
    head: AnswerHead
    chunks: Iterator[bytes]

    def close(self) -> None:
        """Give the answer up before its end."""
        self.conn.close()
        self.ticket.end('cancelled')


class NoTakeoverError(Exception):
    """No other upstream takes over now.

    :param reason: reason in one line
    :param retry_after_s: seconds until another attempt may succeed
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class SilenceWatch:
    """Has another upstream take over a request whose upstream is silent.

    The silent upstream keeps the request until the other one answers, because it may
    be sound and go on.

    :param ticket: ticket of the request
    :param request_id: id of the request
    :param clock: clock of the process
    :param registry: tells whether the upstream has started again
    :param take_over: has another upstream answer the request; raises
        :exc:`NoTakeoverError` if none does; ``None`` if none may
    """

    def __init__(
        self,
        ticket: Ticket,
        request_id: str,
        clock: Clock,
        registry: Registry,
        take_over: Callable[[], None] | None,
    ) -> None:
        self._ticket = ticket
        self._request_id = request_id
        self._clock = clock
        self._registry = registry
        self._take_over = take_over
        self._next_try_at = 0.0
        self._logged: str | None = None

    def is_replaced(self) -> bool:
        """Return whether another upstream has taken over the request.

        :raises BrokenError: if the silent upstream's process has ended
        """
        if not self._ticket.is_overdue():
            return False
        if self._registry.is_succeeded(self._ticket.upstream):
            raise BrokenError(f'{self._ticket.upstream.id} has started again')
        if self._take_over is None:
            return False
        # The dispatcher must not wait for the end to avoid this upstream.
        self._ticket.end('silent')
        if self._clock.monotonic() < self._next_try_at:
            return False
        try:
            self._take_over()
        except NoTakeoverError as exc:
            self._postpone(exc)
            return False
        return True

    def _postpone(self, exc: NoTakeoverError) -> None:
        wait_s = max(TAKEOVER_INTERVAL_S, exc.retry_after_s)
        self._next_try_at = self._clock.monotonic() + wait_s
        reason = str(exc)
        if reason != self._logged:
            self._logged = reason
            log_event(
                'silent_upstream_kept',
                id=self._request_id,
                upstream=self._ticket.upstream.id,
                reason=reason,
            )
