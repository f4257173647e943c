"""Tests of the learned work time of an upstream."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.workspeed import WorkSpeed

USUAL_S = 0.002
# Answers before the service's median is known, and whether they are kept.
EARLY_ANSWERS = [
    ('none', [], False),
    ('one slow answer', [0.03], False),
    ('three answers', [0.03, 0.002, 0.002], False),
    ('enough slow answers', [0.03] * 6, True),
]


# Guards against an upstream that gets nothing for long as its first answer was slow.
@pytest.mark.parametrize(
    ('name', 'answers', 'kept'), EARLY_ANSWERS, ids=[row[0] for row in EARLY_ANSWERS]
)
def test_few_answers_before_the_median_do_not_count(
    name: str, answers: list[float], kept: bool
) -> None:
    speed = WorkSpeed()
    for number, duration_s in enumerate(answers):
        speed.record_placement(number, 0, 4, 0.1 * number)
        speed.record_answer(number, duration_s, 0.1 * number)
    speed.set_prior(USUAL_S, 1.0)
    assert (speed.work_s(1.0) > 5 * USUAL_S) == kept
    speed.record_placement('later', 0, 4, 1.1)
    speed.record_answer('later', 0.03, 1.1)
    speed.set_prior(USUAL_S, 1.2)
    assert speed.lasting_s(1.2) > USUAL_S
