"""Tests of what hosts know of brittle upstreams."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.router.brittleness import Brittleness
from rosemaryseam.router.brittlereports import BrittleReport
from rosemaryseam.router.upstreams import Upstream

ONE = Upstream('one', 1, 'work', Address('10.0.0.1', 80), 'a', 8)


class Answer(NamedTuple):
    """An answer with what it states and its times in seconds."""

    limit: float | None
    asked_at: float
    heard_at: float


def build(clock: ManualClock) -> Brittleness:
    """Return the state of a host that knows one upstream."""
    return Brittleness(
        clock, random.Random(1), lambda _: ONE, lambda _: 0, lambda _: True
    )


STATEMENTS = [
    ([Answer(None, 0, 1)], None, None),
    ([Answer(4.0, 0, 1)], None, 4.0),
    ([Answer(4.0, 0, 2), Answer(None, 1, 3)], None, 4.0),
    ([Answer(4.0, 0, 2), Answer(None, 2.5, 3)], None, None),
    ([Answer(4.0, 0, 1)], BrittleReport('one', 1, None, 0.0), None),
    ([Answer(4.0, 0, 4.5)], BrittleReport('one', 1, None, 1.0), 4.0),
    ([], BrittleReport('one', 1, 3.0, 1.0), 3.0),
    ([], BrittleReport('one', 2, 3.0, 1.0), None),
]


# Guards against reports and answers that overtake one another.
@pytest.mark.parametrize(('answers', 'report', 'limit'), STATEMENTS)
def test_the_newest_statement_counts(
    answers: list[Answer], report: BrittleReport | None, limit: float | None
) -> None:
    clock = ManualClock()
    state = build(clock)
    for answer in answers:
        clock.advance(answer.heard_at - clock.monotonic())
        state.record_answer(ONE, answer.limit, answer.asked_at, '')
    clock.advance(5.0 - clock.monotonic())
    if report is not None:
        state.adopt(report, '10.0.0.2')
    assert state.get(ONE.incarnation) == limit


# Guards against a burst on an upstream that was started again after a crash.
def test_a_new_incarnation_of_a_brittle_service_starts_with_little_room() -> None:
    state = build(ManualClock())
    state.retain([ONE])
    state.record_answer(ONE, 4.0, 0.0, '')
    again = ONE._replace(born=2)
    other = ONE._replace(id='two', service='other')
    state.retain([again, other])
    assert state.dump(again) == {'rejections_per_s': 4.0, 'room': 2.0}
    assert state.dump(other) is None
    assert state.get(ONE.incarnation) is None
