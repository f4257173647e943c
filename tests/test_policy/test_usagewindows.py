"""Tests of the arithmetic of usage windows."""

from __future__ import annotations

import pytest

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.policy.usagewindows import (
    ClockVotes,
    Heard,
    MergedCounts,
    OwnCounts,
    TrueTime,
    UsageRecord,
    first_window,
    may_close,
)

WINDOW_S = 5.0


def test_merged_counts_ignore_duplicates_and_late_messages() -> None:
    """Datagrams may be duplicated and reordered."""
    merged = MergedCounts()
    for count in (3, 5, 5, 2):
        merged.merge(1, ('a', 1), {'north': count})
    merged.merge(1, ('a', 2), {'north': 1})  # after a restart
    merged.merge(1, ('b', 1), {'south': 4})
    assert merged.total(1) == {'north': 6, 'south': 4}


def test_requests_before_the_time_is_confirmed_get_their_true_window() -> None:
    """A host whose clock is wrong counts requests before it learns of that."""
    clock = ManualClock()
    time = TrueTime(clock)
    own = OwnCounts(time, WINDOW_S)
    start = int(time.now() // WINDOW_S)
    own.add('north', 0.5)
    clock.advance(1.0)
    assert own.windows() == {}
    time.correct(-3600.0)
    assert own.windows() == {start - 720: {'north': 1}}
    own.add('north', 0.9)
    own.done = start - 720
    assert own.windows() == {}


ANSWERS = [
    # seconds until the answer, its error, correction
    (0.02, 5.0, 5.0),
    (0.02, -0.5, -0.5),
    (0.02, 0.05, None),
    (0.5, 5.0, None),
]


@pytest.mark.parametrize(('delay_s', 'error_s', 'expected'), ANSWERS)
def test_late_answers_do_not_correct_the_time(
    delay_s: float, error_s: float, expected: float | None
) -> None:
    """An answer that waited while the process was paused states an old time."""
    clock = ManualClock()
    time = TrueTime(clock)
    answered = time.now() + delay_s / 2 + error_s
    clock.advance(delay_s)
    corrected = time.correct_by_answer(0.0, answered)
    assert corrected == (expected and pytest.approx(expected))
    assert time.confirmed is (delay_s < 0.1)


VOTES = [
    # differences by host; median
    ({'a': [8.0]}, None),
    ({'a': [8.0], 'b': [8.1]}, 8.0),
    ({'a': [8.0], 'b': [0.0]}, 0.0),
    ({'a': [-4.0, 0.0], 'b': [0.0, -5.0], 'c': [9.0]}, 0.0),
    ({'gone': [8.0], 'b': [8.0]}, None),
]


@pytest.mark.parametrize(('votes', 'expected'), VOTES)
def test_the_majority_tells_the_time(
    votes: dict[str, list[float]], expected: float | None
) -> None:
    """Neither one wrong clock nor messages that waited in a queue may decide."""
    ballot = ClockVotes()
    for host, differences in votes.items():
        for difference_s in differences:
            ballot.add(host, difference_s)
    assert ballot.median({'a', 'b', 'c'}) == expected


END = 1000.0
CLOSINGS = [
    # now, held for, hosts as (heard ago, counts until); final
    (END + 1.4, 9.0, [], False),
    (END + 1.6, 9.0, [], True),
    (END + 1.6, 1.0, [], False),
    (END + 1.6, 9.0, [(0.5, END + 1.0)], True),
    (END + 1.6, 9.0, [(1.5, END + 0.1)], False),
    (END + 4.0, 9.0, [(4.5, END - 0.5)], True),
    (END + 4.0, 9.0, [(0.5, END - 0.5)], False),
    (END + 5.1, 9.0, [(0.5, END - 0.5)], True),
    (END + 5.1, 2.0, [(0.5, END + 5.0)], True),
    (END + 5.1, 2.0, [(2.5, END + 3.0)], False),
    (END + 5.1, 2.6, [(9.0, END - 4.0)], True),
]


@pytest.mark.parametrize(('now', 'held_s', 'hosts', 'expected'), CLOSINGS)
def test_a_window_is_final_when_all_hosts_were_heard(
    now: float, held_s: float, hosts: list[tuple[float, float]], expected: bool
) -> None:
    """Counts that come later are lost; a late report is expensive, too."""
    heard = [Heard(now - ago, until) for ago, until in hosts]
    assert may_close(END, now, now, now - held_s, heard) is expected


RECORD = UsageRecord(1, 190, {})
FIRST_WINDOWS = [
    # record, era, true time of learning of it, oldest counts; first window
    (RECORD, 1, 0.0, 180, 191),
    (RECORD, 2, 996.0, 180, 199),
    (RECORD, 2, 900.0, 180, 191),
    (None, 2, 986.0, 180, 197),
    (None, 0, 996.0, 197, 197),
    (None, 0, 996.0, 20, 176),
    (UsageRecord(1, 20, {}), 1, 0.0, None, 176),
]


@pytest.mark.parametrize(
    ('record', 'era', 'learned', 'oldest', 'expected'), FIRST_WINDOWS
)
def test_windows_of_a_lost_record_are_not_reported_again(
    record: UsageRecord | None,
    era: int,
    learned: float,
    oldest: int | None,
    expected: int,
) -> None:
    """Another count may have been reported before the store was restored."""
    assert first_window(record, era, learned, oldest, END, WINDOW_S) == expected
