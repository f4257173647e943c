"""Limits on tokens per second against a simulated engine; expected lengths."""

from __future__ import annotations

import random

import pytest

from rosemaryseam.policy.lengths import LengthPredictor
from rosemaryseam.policy.rates import BURST_S, TokenBucket

RATE = 100.0
STEP_S = 0.05
STREAM_PER_S = 50.0  # tokens per second of one stream
REPORT_S = 1.0  # between reports of progress


def _generate(
    seed: int, seconds: float, slots: int, *, charges: bool = True
) -> list[float]:
    """Return the tokens generated in each step by the calls that a bucket admits."""
    rng = random.Random(seed)
    bucket = TokenBucket(RATE, -BURST_S)
    charge = bucket.charge if charges else lambda _tokens, _now: None
    lengths = LengthPredictor()
    running: list[list[float]] = []  # length, generated, charged
    steps = []
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        while len(running) < slots and bucket.is_open(now):
            expected = lengths.mean('drafting', 'market') or 0.0
            charge(expected, now)
            running.append([rng.lognormvariate(3.2, 0.9), 0.0, expected])
        report = step % round(REPORT_S / STEP_S) == 0
        for call in running:
            call[1] += STREAM_PER_S * STEP_S
            if report and call[1] > call[2]:
                charge(call[1] - call[2], now)
                call[2] = call[1]
        steps.append(len(running) * STREAM_PER_S * STEP_S)
        for call in [entry for entry in running if entry[1] >= entry[0]]:
            running.remove(call)
            charge(call[1] - call[2], now)
            lengths.record('drafting', 'market', int(call[1]))
    return steps


def _most_in_ten_seconds(steps: list[float]) -> float:
    window = round(10.0 / STEP_S)
    return max(sum(steps[at : at + window]) for at in range(len(steps) - window))


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('charges', [True, False])
def test_rate_holds_over_ten_seconds(seed: int, charges: bool) -> None:
    """Eight streams can generate four times the limit; without charges they do."""
    steps = _generate(seed, 120.0, slots=8, charges=charges)
    in_flight = 8 * STREAM_PER_S * REPORT_S  # generated before it is reported
    bound = RATE * (10.0 + BURST_S) + in_flight
    assert (_most_in_ten_seconds(steps) <= bound) is charges
    assert sum(steps) >= 0.8 * RATE * 120.0, 'the limit is also used'


@pytest.mark.parametrize(
    ('recorded', 'asked', 'expected'),
    [
        ([], ('a', 'w'), None),
        ([('a', 'w', 10)], ('b', 'x'), 10.0),
        ([('a', 'w', 10)] * 5 + [('a', 'x', 90)] * 5, ('a', 'w'), 10.0),
        ([('a', 'w', 10)] * 5 + [('a', 'x', 90)] * 4, ('a', 'x'), 410 / 9),
        ([('a', 'w', 1)] * 300 + [('a', 'w', 5)] * 200, ('a', 'w'), 5.0),
    ],
)
def test_expected_length(
    recorded: list[tuple[str, str, int]],
    asked: tuple[str, str],
    expected: float | None,
) -> None:
    lengths = LengthPredictor()
    for entry in recorded:
        lengths.record(*entry)
    assert lengths.mean(*asked) == pytest.approx(expected)
