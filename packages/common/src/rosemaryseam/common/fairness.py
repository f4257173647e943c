"""Receiving and repeating work in a way that leaves turns to other greenlets."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING, Any, TypeVar

import gevent

from rosemaryseam.common.decisionlog import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.metrics import Metrics

T = TypeVar('T')

RECEIVES_PER_TURN = 8  # before other greenlets get a turn
ERROR_PAUSE_S = 0.2  # after an unexpected error in repeated work
LOGGED_TRACE_FRAMES = 3  # innermost frames of the traceback


class FairReceiver:
    """Receives from a gevent socket and yields to other greenlets regularly.

    A receive that finds bytes ready does not switch greenlets. A peer that sends
    without end would stop all other greenlets, and no timeout would fire.

    :param sock: socket to receive from
    :param max_bytes: total number of bytes to receive, ``None`` without a limit
    """

    def __init__(self, sock: Any, max_bytes: int | None = None) -> None:
        self._sock = sock
        self.max_bytes = max_bytes
        self._received = 0
        self._receives = 0
        self._must_yield = False

    def recv(self, size: int) -> bytes:
        """Receive up to a number of bytes.

        :param size: maximum number of bytes
        :raises OSError: the socket failed, or the limit was exceeded
        """
        # A timeout that fires while others run must not lose received bytes.
        if self._must_yield:
            self._must_yield = False
            gevent.sleep(0)
        data = self._sock.recv(size)
        self._receives += 1
        # A read that filled its buffer suggests that more bytes are ready.
        self._must_yield = len(data) == size or self._receives % RECEIVES_PER_TURN == 0
        self._received += len(data)
        if self.max_bytes is not None and self._received > self.max_bytes:
            raise OSError(f'more than {self.max_bytes} bytes received')
        return data

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


def attempt(name: str, step: Callable[[], object], metrics: Metrics) -> bool:
    """Run a step of repeated work; return whether it ended without an error.

    An unexpected error is logged, so that what comes after the step goes on. The first,
    second, fourth, eighth and so on of the failures in a row is logged.

    :param name: name of the work in the log
    :param step: one step of the work
    :param metrics: counters of the process
    """
    try:
        step()
    except Exception as exc:
        metrics.count('internal_errors')
        failing = metrics.work_failures.record_failure(name, exc)
        if failing.in_a_row & (failing.in_a_row - 1) == 0:
            log_warning(
                'internal_error',
                work=name,
                in_a_row=failing.in_a_row,
                error=failing.error,
                trace=traceback.format_exc(limit=-LOGGED_TRACE_FRAMES),
            )
        return False
    failures = metrics.work_failures.record_success(name)
    if failures:
        log_event('work_recovered', work=name, failures=failures)
    return True


def apply_each(
    name: str, entries: Iterable[T], apply: Callable[[T], object], metrics: Metrics
) -> None:
    """Apply entries one by one; an unexpected error with one does not stop the others.

    The entries are one step of the work, which fails if one of them does.

    :param name: name of the work in the log
    :param entries: entries to apply
    :param apply: applies one entry
    :param metrics: counters of the process
    """

    def apply_all() -> None:
        failures = []
        for entry in pending:
            try:
                apply(entry)
            except Exception as exc:
                failures.append(exc)
        if failures:
            raise failures[0]

    pending = tuple(entries)
    if pending:
        attempt(name, apply_all, metrics)


def run_repeatedly(name: str, step: Callable[[], None], metrics: Metrics) -> None:
    """Run a step again and again; an unexpected error ends only the current step.

    :param name: name of the work in the log
    :param step: one step of the work
    :param metrics: counters of the process
    """
    while True:
        if not attempt(name, step, metrics):
            gevent.sleep(ERROR_PAUSE_S)
