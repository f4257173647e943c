"""Watches a silent upstream until it goes on or another one has taken over."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.decisionlog import log_event, log_warning
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
    be sound and go on. The other one is asked in a greenlet of its own, so that the
    answer is read meanwhile.

    :param ticket: ticket of the request
    :param request_id: id of the request
    :param clock: clock of the process
    :param registry: tells whether the upstream has started again
    :param take_over: returns the answer of another upstream or raises
        :exc:`NoTakeoverError`; ``None`` if no other upstream may get the request
    """

    def __init__(
        self,
        ticket: Ticket,
        request_id: str,
        clock: Clock,
        registry: Registry,
        take_over: Callable[[], OpenAnswer] | None,
    ) -> None:
        self._ticket = ticket
        self._request_id = request_id
        self._clock = clock
        self._registry = registry
        self._take_over = take_over
        self._attempt: gevent.Greenlet | None = None
        self._successor: OpenAnswer | None = None
        self._next_try_at = 0.0
        self._logged: str | None = None

    def is_replaced(self) -> bool:
        """Return whether another upstream has taken over the request.

        :raises BrokenError: if the silent upstream's process has ended
        """
        if not self._ticket.is_overdue():
            self.close()
            return False
        if self._registry.is_succeeded(self._ticket.upstream):
            raise BrokenError(f'{self._ticket.upstream.id} has started again')
        if self._take_over is None:
            return False
        # The dispatcher must not wait for the end to avoid this upstream.
        self._ticket.end('silent')
        if self._attempt is not None:
            return self._attempt.ready() and self._finish_attempt()
        if self._clock.monotonic() >= self._next_try_at:
            self._attempt = gevent.spawn(self._try_take_over)
        return False

    def take_successor(self) -> OpenAnswer | None:
        """Return the answer of the upstream that takes over, if one does.

        Waits for an upstream that was asked. The receiver has to close the answer.
        """
        if self._attempt is not None:
            self._attempt.join()
            self._finish_attempt()
        successor, self._successor = self._successor, None
        return successor

    def close(self) -> None:
        """Give up an attempt to have another upstream take over."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.link_value(_close_answer)
            attempt.kill(block=False)
        if self._successor is not None:
            self._successor.close()
            self._successor = None

    def _try_take_over(self) -> OpenAnswer | NoTakeoverError:
        try:
            return self._take_over()
        except NoTakeoverError as exc:
            return exc
        except Exception as exc:  # the silent upstream still has the request
            log_warning('internal_error', error=repr(exc))
            return NoTakeoverError('internal error')

    def _finish_attempt(self) -> bool:
        """Take the result of the attempt; return whether an upstream takes over."""
        attempt, self._attempt = self._attempt, None
        result = attempt.get()
        if isinstance(result, OpenAnswer):
            self._successor = result
            return True
        if isinstance(result, NoTakeoverError):
            self._postpone(result)
        return False

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


def _close_answer(attempt: gevent.Greenlet) -> None:
    """Close the answer of an attempt that ended although it was given up."""
    if isinstance(attempt.value, OpenAnswer):
        attempt.value.close()
