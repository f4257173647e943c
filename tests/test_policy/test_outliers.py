"""Failure rates and ejection of upstreams; time limits for answers."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.durations import AnswerDurations
from rosemaryseam.policy.outliers import (
    BASE_EJECTION_S,
    MAX_EJECTION_S,
    OutlierDetector,
)

FAILURE_RATES = [
    ('all alike', {'a': 0.3, 'b': 0.3, 'c': 0.3}, 'a', 0.0, 0.15),
    ('one failing', {'a': 0.5, 'b': 0.0, 'c': 0.0}, 'a', 0.25, 1.0),
    (
        'a healthy one beside a failing one',
        {'a': 0.5, 'b': 0.0, 'c': 0.0},
        'b',
        0.0,
        0.0,
    ),
]


@pytest.mark.parametrize(
    ('name', 'rates', 'upstream', 'least', 'most'),
    FAILURE_RATES,
    ids=[row[0] for row in FAILURE_RATES],
)
def test_excess_is_relative_to_the_service(
    name: str, rates: dict[str, float], upstream: str, least: float, most: float
) -> None:
    outliers = OutlierDetector()
    for step in range(100):
        for key, rate in rates.items():
            failed = int(step * rate) != int((step + 1) * rate)
            outliers.record(key, step * 0.1, failed=failed)
    median = outliers.median_failure_rate(rates, 10.0)
    assert least <= outliers.excess_failure_rate(upstream, median, 10.0) <= most


def test_the_excess_of_a_failing_upstream_decays() -> None:
    outliers = OutlierDetector()
    for _ in range(30):
        outliers.record('a', 0.0, failed=True)
    excesses = [outliers.excess_failure_rate('a', 0.0, now) for now in (0.0, 4.0, 12.0)]
    assert excesses == pytest.approx([0.88, 0.26, 0.0], abs=0.03)


def test_ejections_grow_and_end_with_a_success() -> None:
    outliers = OutlierDetector()
    now = 0.0
    lengths = []
    for _ in range(6):
        outliers.record_unreachable('a', now)
        start = now
        while outliers.is_ejected('a', now):
            now += 0.05
        lengths.append(round(now - start, 1))
    assert lengths == sorted(lengths)
    assert lengths[0] == pytest.approx(BASE_EJECTION_S, abs=0.06)
    assert lengths[-1] == pytest.approx(MAX_EJECTION_S, abs=0.06)
    outliers.record_unreachable('a', now)
    outliers.record('a', now, failed=False)
    assert not outliers.is_ejected('a', now)


def test_retain_drops_unlisted_upstreams() -> None:
    outliers = OutlierDetector()
    outliers.record('a', 0.0, failed=True)
    outliers.record_unreachable('a', 0.0)
    outliers.retain([])
    assert (
        outliers.excess_failure_rate(
            'a', outliers.median_failure_rate(['a', 'b'], 0.0), 0.0
        )
        == 0.0
    )
    assert not outliers.is_ejected('a', 0.0)


LIMITS = [
    ('steady and short', [0.02] * 200, 0.1, 0.15),
    ('steady and short, wanted later', [0.02] * 200, 0.4, 0.4),
    ('steady and long', [0.5] * 200, 0.1, 0.5),
    ('spread', [0.02, 0.12] * 200, 0.1, 0.37),
    ('too few answers', [0.02] * 19, 0.1, None),
]


@pytest.mark.parametrize(
    ('name', 'seconds', 'target', 'expected'), LIMITS, ids=[row[0] for row in LIMITS]
)
def test_time_limit(
    name: str, seconds: list[float], target: float, expected: float | None
) -> None:
    durations = AnswerDurations()
    for one in seconds:
        durations.record('work', one)
    limit = durations.answer_timeout_s('work', target)
    assert limit == (expected and pytest.approx(expected, abs=0.06))


def test_a_time_limit_that_was_too_short_grows() -> None:
    durations = AnswerDurations()
    for _ in range(100):
        durations.record('work', 0.02)
    for _ in range(40):
        durations.record('work', durations.answer_timeout_s('work', 0.1))
    assert durations.answer_timeout_s('work', 0.1) > 0.5
