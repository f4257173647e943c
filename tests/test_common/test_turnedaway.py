"""Tests of the log of callers that were turned away."""

from __future__ import annotations

from loguru import logger

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.turnedaway import BURST_LINES, LINES_PER_S, TurnedAwayLog


def test_crowd_is_counted_and_leaves_room_in_the_log() -> None:
    lines: list[dict] = []
    sink = logger.add(lambda message: lines.append(message.record['extra']))
    clock, metrics = ManualClock(), Metrics()
    log = TurnedAwayLog('caller', clock, metrics)
    for _ in range(1000):
        log.record('memory', '127.0.0.9', stage='BODY')
    assert len(lines) == BURST_LINES
    clock.advance(1.0)
    log.record('memory', '127.0.0.9', stage='BODY')
    logger.remove(sink)
    assert metrics.value('callers_turned_away', reason='memory') == 1001
    assert lines[-1]['omitted'] == 1000 - BURST_LINES
    assert lines[-1]['peer'] == '127.0.0.9'
    assert LINES_PER_S >= 1.0
