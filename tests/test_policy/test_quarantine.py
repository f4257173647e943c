"""Tests which prompt parts are quarantined after crashes of engines."""

from __future__ import annotations

import math

import pytest

from rosemaryseam.policy.crashevidence import Suspect
from rosemaryseam.policy.quarantine import (
    EVIDENCE_TTL_S,
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    SETTLE_S,
    PromptQuarantine,
    Quarantine,
)

FIRST, DEADLY, OTHER, RARE = 1, 2, 3, 4
AGAIN, NEW, NEXT = 11, 12, 13  # requests, of which the first one is repeated
SETTLED_S = 2 * SETTLE_S

# What engines did: ('crash', time, prompts that it broke off), ('answer', time, parts)
# or ('begin', time, parts). Prompts are without their last part, and may end with the
# digest of the request. At ('judge', time, None) the evidence so far is judged.
History = list[tuple[str, float, object]]


def play(history: History) -> PromptQuarantine:
    """Return a quarantine that has seen a history."""
    quarantine = PromptQuarantine()
    for number, (kind, at, what) in enumerate(history):
        if kind == 'judge':
            quarantine.in_force(at)
        elif kind == 'answer':
            quarantine.record_answer(what, at)
        elif kind == 'begin':
            quarantine.record_begin(what, at)
        else:
            for prompt in what:
                suspects = {
                    part: Suspect(i, 1, is_request=part >= AGAIN)
                    for i, part in enumerate(prompt)
                }
                quarantine.record_crash(('engine', number), suspects, at)
    return quarantine


def quarantined(quarantine: PromptQuarantine, now: float) -> list[int]:
    """Return the digests that are quarantined at a time."""
    return [entry.digest for entry in quarantine.in_force(now)]


def crashes(times: list[float], *prompts: tuple[int, ...]) -> History:
    """Return crashes that broke off the same prompts."""
    return [('crash', at, prompts) for at in times]


ALONE = crashes([10.0, 10.6, 11.2], (FIRST, DEADLY))
HISTORIES: list[tuple[str, History, list[int]]] = [
    ('nothing', [], []),
    ('two crashes', crashes([10.0, 11.0], (FIRST, DEADLY)), []),
    ('three crashes', ALONE, [DEADLY]),
    (
        'three crashes within half a second',
        crashes([10.0, 10.15, 10.3], (FIRST, DEADLY)),
        [],
    ),
    (
        'four crashes within half a second',
        crashes([10.0, 10.15, 10.3, 10.45], (FIRST, DEADLY)),
        [DEADLY],
    ),
    (
        'many crashes at the same time',
        crashes([10.0 + 0.005 * i for i in range(12)], (FIRST, OTHER)),
        [],
    ),
    (
        'an answer in between',
        [*crashes([10.0, 10.6], (FIRST, OTHER)), ('answer', 10.8, (FIRST, OTHER))]
        + crashes([11.2, 11.8], (FIRST, OTHER)),
        [],
    ),
    (
        'the first part was answered before',
        [('answer', 5.0, (FIRST,)), *ALONE],
        [DEADLY],
    ),
    (
        'the deadly part was answered before, the first one later',
        [('answer', 3.0, (FIRST, DEADLY)), ('answer', 9.0, (FIRST,)), *ALONE],
        [DEADLY],
    ),
    (
        'the deadly part stands first',
        [('answer', 9.0, (OTHER,)), *crashes([10.0, 10.6, 11.2], (DEADLY, OTHER))],
        [DEADLY],
    ),
    (
        'other requests begin and are broken off',
        [('begin', 10.1, (FIRST, OTHER))]
        + crashes([10.0, 10.6, 11.2], (FIRST, OTHER, DEADLY), (FIRST, OTHER)),
        [DEADLY],
    ),
    (
        'more requests have the other part',
        crashes([10.0, 10.6, 11.2], (DEADLY, OTHER), (OTHER,)),
        [DEADLY],
    ),
    (
        'a rare part was broken off by chance',
        crashes([10.0], (FIRST, DEADLY), (FIRST, RARE))
        + crashes([10.6], (FIRST, DEADLY))
        + crashes([11.2, 11.8], (FIRST, DEADLY), (FIRST, RARE)),
        [DEADLY],
    ),
    (
        'two deadly parts',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY))
        + crashes([10.3, 10.9, 11.5], (FIRST, OTHER))
        + [('answer', 11.0, (FIRST,))],
        [DEADLY, OTHER],
    ),
    (
        'two parts that nothing tells apart yet',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY), (FIRST, OTHER)),
        [],
    ),
    (
        'two parts of which one begins to be answered',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY), (FIRST, OTHER))
        + [('begin', 11.25, (FIRST, OTHER))],
        [DEADLY],
    ),
    (
        'a repeated request with the part in some of the crashes',
        crashes([10.0, 10.27], (FIRST, DEADLY, AGAIN))
        + crashes([10.22, 10.7], (FIRST, DEADLY, NEW))
        + crashes([10.78], (FIRST, DEADLY, AGAIN), (FIRST, DEADLY, NEW))
        + crashes([11.22], (FIRST, DEADLY, AGAIN)),
        [DEADLY],
    ),
    (
        'a repeated request without the part in some of the crashes',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY), (FIRST, AGAIN))
        + crashes([11.25], (FIRST, DEADLY)),
        [DEADLY],
    ),
    (
        'one request alone',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY, AGAIN)),
        [AGAIN],
    ),
    (
        'one request and later others with its part',
        crashes([10.0, 10.6, 11.2], (FIRST, DEADLY, AGAIN))
        + [('judge', 11.5, None)]
        + crashes([12.0], (FIRST, DEADLY, NEW))
        + [('answer', 12.1, (FIRST,))]
        + crashes([12.6], (FIRST, DEADLY, NEXT)),
        [AGAIN, DEADLY],
    ),
    (
        'one request and later a single crash of another cause',
        [('answer', 9.0, (FIRST,))]
        + crashes([10.0, 10.6, 11.2], (FIRST, AGAIN))
        + [('judge', 11.5, None)]
        + crashes([12.0], (FIRST, NEW)),
        [AGAIN],
    ),
    (
        'one request and later another one with a part that was never answered',
        [('answer', 9.0, (FIRST,))]
        + crashes([10.0, 10.6, 11.2], (FIRST, DEADLY, AGAIN))
        + [('judge', 11.5, None)]
        + crashes([12.0], (FIRST, DEADLY, NEW)),
        [AGAIN, DEADLY],
    ),
    (
        'a wrong suspect that an answer disproves',
        [('answer', 3.0, (DEADLY,))]
        + crashes([10.0, 10.6, 11.2], (FIRST, DEADLY), (FIRST, OTHER))
        + [('judge', 11.5, None), ('answer', 11.8, (FIRST, OTHER))],
        [DEADLY],
    ),
    (
        'a wrong request that an answer disproves',
        [('answer', 3.0, (DEADLY,))]
        + crashes([10.0, 10.6, 11.2], (FIRST, DEADLY), (FIRST, AGAIN))
        + [('judge', 11.5, None), ('answer', 11.8, (FIRST, AGAIN))],
        [DEADLY],
    ),
    ('crashes long ago', crashes([0.0, 5.0, 11.0 + EVIDENCE_TTL_S], (DEADLY,)), []),
]


# Guards against prompts that keep crashing engines, and against a quarantine of parts
# that were only in flight when engines crashed.
@pytest.mark.parametrize(
    ('history', 'expected'),
    [row[1:] for row in HISTORIES],
    ids=[row[0] for row in HISTORIES],
)
def test_part_that_explains_the_crashes_is_quarantined(
    history: History, expected: list[int]
) -> None:
    quarantine = play(history)
    now = max((at for _, at, _ in history), default=0.0) + SETTLED_S
    assert sorted(quarantined(quarantine, now)) == sorted(expected)


def test_crash_is_judged_when_all_its_requests_are_reported() -> None:
    quarantine = play(crashes([10.0, 10.6], (FIRST, DEADLY), (FIRST, OTHER)))
    quarantine.record_crash('engine', {OTHER: Suspect(1, 1)}, 11.2)
    assert quarantined(quarantine, 11.2 + SETTLE_S / 2) == []
    quarantine.record_crash('engine', {DEADLY: Suspect(2, 1)}, 11.2)
    assert quarantined(quarantine, 11.2 + SETTLED_S) == [DEADLY]


def test_crashes_without_a_pause_do_not_delay_the_decision() -> None:
    quarantine = PromptQuarantine()
    now = 10.0
    for number in range(40):
        now = 10.0 + 0.04 * number
        quarantine.record_crash(number, {DEADLY: Suspect(1, 1)}, now)
        if quarantine.find([DEADLY], now) is not None:
            break
    assert now < 11.0


def test_late_reports_of_an_explained_crash_are_no_evidence() -> None:
    quarantine = play(ALONE)
    now = 11.2
    for number in range(5):
        now += 1.0
        quarantine.record_crash(number, {DEADLY: Suspect(1, 1)}, now)
        assert quarantined(quarantine, now + SETTLED_S) == [DEADLY]
        quarantine.record_crash(number, {RARE: Suspect(1, 1)}, now + 2 * SETTLED_S)
    assert quarantined(quarantine, now + 1.0) == [DEADLY]


def test_quarantine_ends_and_is_longer_after_the_next_crash() -> None:
    quarantine = play(ALONE)
    now = 11.2 + SETTLED_S
    expected_s = FIRST_QUARANTINE_S
    for _ in range(8):
        entry = quarantine.find([FIRST, DEADLY], now)
        assert entry == Quarantine(DEADLY, now + expected_s, expected_s)
        assert quarantine.find([FIRST], now) is None
        now = entry.until
        assert quarantine.find([FIRST, DEADLY], now) is None
        quarantine.record_crash(('again', now), {DEADLY: Suspect(1, 1)}, now)
        now += SETTLED_S
        expected_s = min(MAX_QUARANTINE_S, 2 * expected_s)


def test_answer_disproves_a_quarantine_that_began_before() -> None:
    quarantine = play(ALONE)
    entry = quarantine.in_force(11.2 + SETTLED_S)[0]
    assert quarantine.record_answer([FIRST, DEADLY], entry.began_at - 0.5) == []
    assert quarantined(quarantine, 12.0) == [DEADLY]
    assert quarantine.record_answer([FIRST, DEADLY], 12.0) == [DEADLY]
    assert quarantined(quarantine, 12.0) == []
    assert not quarantine.adopt(entry, 12.5)
    quarantine.record_crash('again', {DEADLY: Suspect(1, 1)}, 13.0)
    assert quarantined(quarantine, 13.0 + SETTLED_S) == []


def test_part_that_is_answered_after_its_quarantine_needs_new_proof() -> None:
    quarantine = play(ALONE)
    now = quarantine.in_force(11.2 + SETTLED_S)[0].until
    quarantine.record_crash('again', {DEADLY: Suspect(1, 1)}, now)
    quarantine.record_answer([DEADLY], now + 0.01)
    assert quarantine.find([DEADLY], now + SETTLED_S) is None


ADOPTED = [
    ('in force', Quarantine(DEADLY, 60.0, 120.0), True),
    ('over', Quarantine(DEADLY, 9.0, 120.0), False),
]


@pytest.mark.parametrize(
    ('entry', 'applies'),
    [row[1:] for row in ADOPTED],
    ids=[row[0] for row in ADOPTED],
)
def test_quarantine_of_another_host_is_adopted_once(
    entry: Quarantine, applies: bool
) -> None:
    quarantine = PromptQuarantine()
    assert quarantine.adopt(entry, 10.0) is applies
    assert (quarantine.find([DEADLY], 10.0) == entry) is applies
    assert not quarantine.adopt(entry, 10.0)


def test_crashes_with_an_adopted_part_are_no_evidence_against_others() -> None:
    quarantine = play(crashes([10.0, 10.6], (FIRST, DEADLY)))
    quarantine.adopt(Quarantine(DEADLY, 60.0, 120.0), 11.0)
    quarantine.record_crash('engine', {FIRST: Suspect(0, 1)}, 11.2)
    assert quarantined(quarantine, 11.2 + SETTLED_S) == [DEADLY]


def test_times_of_parts_that_were_not_seen_are_infinitely_long_ago() -> None:
    quarantine = PromptQuarantine()
    quarantine.record_answer([FIRST], 5.0)
    quarantine.record_answer([FIRST], 4.0)
    assert quarantine.last_answered_at(FIRST) == 5.0
    assert quarantine.last_answered_at(DEADLY) == -math.inf
    assert quarantine.last_begun_at(FIRST) == -math.inf
