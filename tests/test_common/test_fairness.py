"""Tests of receiving that leaves turns to other greenlets."""

from __future__ import annotations

import contextlib

import gevent
import pytest
from gevent import socket

from rosemaryseam.common.fairness import FairReceiver, apply_each, run_repeatedly
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.workfailures import MAX_ERROR_CHARS, describe_error


class NumberedSocket:
    """Returns a number at each receive."""

    def __init__(self) -> None:
        self.received = 0

    def recv(self, size: int) -> bytes:
        """Return the next number, filled up to the size."""
        self.received += 1
        return str(self.received).rjust(size).encode()


def test_a_timeout_while_others_run_loses_no_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    receiver = FairReceiver(NumberedSocket())
    timeouts = []

    def time_out(_: float) -> None:
        timeouts.append(1)
        raise gevent.Timeout

    monkeypatch.setattr('gevent.sleep', time_out)
    numbers = []
    for _ in range(40):
        with contextlib.suppress(gevent.Timeout):
            numbers.append(int(receiver.recv(4)))
    assert timeouts
    assert numbers == list(range(1, len(numbers) + 1))
    assert len(numbers) >= 20


def test_more_bytes_than_the_limit_are_an_error() -> None:
    near, far = socket.socketpair()
    receiver = FairReceiver(near, 10)
    far.sendall(b'a' * 11)
    assert receiver.recv(8) == b'a' * 8
    with pytest.raises(OSError, match='10 bytes'):
        receiver.recv(8)
    near.close()
    far.close()


def test_repeated_work_survives_an_error() -> None:
    metrics = Metrics()
    steps = []

    def step() -> None:
        steps.append(1)
        gevent.sleep(0.01)
        if len(steps) == 2:
            raise ValueError('unexpected')

    worker = gevent.spawn(run_repeatedly, 'work', step, metrics)
    with gevent.Timeout(3.0):
        while len(steps) < 5:
            gevent.sleep(0.01)
    worker.kill()
    assert any('internal_errors' in name for name in str(metrics.dump()).split())


def test_failures_in_a_row_are_shown_until_a_step_succeeds() -> None:
    metrics = Metrics()
    steps = []

    def step() -> None:
        steps.append(1)
        if len(steps) <= 3:
            raise ValueError('the same input')
        gevent.sleep(0.01)

    worker = gevent.spawn(run_repeatedly, 'work', step, metrics)
    most = 0
    with gevent.Timeout(3.0):
        while len(steps) < 5:
            failing = metrics.work_failures.failing().get('work')
            most = max(most, failing.in_a_row if failing else 0)
            if failing and failing.in_a_row == 3:
                assert b'work_failures_in_a_row{work="work"} 3.0' in metrics.render()
            gevent.sleep(0.005)
    worker.kill()
    assert most == 3
    assert metrics.work_failures.failing() == {}


# Guards against an entry that fails in each step and is hidden by the next one.
def test_an_entry_that_fails_again_is_shown_beside_others_that_do_not() -> None:
    metrics = Metrics()
    applied = []

    def apply(entry: int) -> None:
        if entry == 1:
            raise ValueError('the same input')
        applied.append(entry)

    for _ in range(3):
        apply_each('work', [0, 1, 2], apply, metrics)
        apply_each('work', [], apply, metrics)
    assert applied == [0, 2] * 3
    assert metrics.work_failures.failing()['work'].in_a_row == 3
    apply_each('work', [2], apply, metrics)
    assert metrics.work_failures.failing() == {}


class _UnshowableError(Exception):
    def __repr__(self) -> str:
        raise RecursionError


def test_an_error_that_cannot_be_shown_is_named() -> None:
    assert describe_error(_UnshowableError()) == '_UnshowableError'
    assert len(describe_error(ValueError('x' * 10_000))) <= MAX_ERROR_CHARS
