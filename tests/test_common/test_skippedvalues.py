"""Tests of the values that are skipped because they cannot be read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from loguru import logger

from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.skippedvalues import SkippedValues

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST, SECOND = UnreadableError('no state'), UnreadableError('no slots')


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Yield the names of the events that are logged."""
    events: list[str] = []
    sink = logger.add(lambda message: events.append(message.record['message']))
    yield events
    logger.remove(sink)


# Guards against a line for each heartbeat of a writer whose entries are odd.
def test_values_that_change_are_counted_and_logged_once_for_each_reason(
    lines: list[str],
) -> None:
    metrics = Metrics()
    skipped = SkippedValues(metrics)
    values = [(b'1', FIRST), (b'1', FIRST), (b'2', FIRST), (b'3', SECOND)]
    new = [skipped.skip('registration', 'a', value, exc) for value, exc in values]
    assert new == [True, False, True, True]
    assert metrics.value('values_skipped', kind='registration') == 3
    assert lines == ['value_skipped', 'value_skipped']
    assert skipped.dump() == {'a': 'registration: no slots'}
