"""Tests the upstream registry with entries that change, leave, lapse and return."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryseam.common.addresses import Address
from rosemaryseam.router.upstreams import (
    LAPSE_GRACE_S,
    Registration,
    Registry,
    Upstream,
)


def upstream(name: str = 'a', born: int = 1, **changes: Any) -> Upstream:
    """Return an upstream of the service ``work``."""
    entry = Upstream(name, born, 'work', Address('10.0.0.1', 80), 'zone', 8)
    return entry._replace(**changes)


def put(registry: Registry, name: str, born: int = 1, *, leaving: bool = False) -> None:
    """Put an entry into the registry."""
    registry.put(Registration(upstream(name, born), leaving))


ENTRY_SEQUENCES = [
    ('registered', [('put', 'a', 1, False)], {('a', 1)}),
    ('leaving', [('put', 'a', 1, False), ('put', 'a', 1, True)], set()),
    (
        'leaving is final for the incarnation',
        [('put', 'a', 1, True), ('put', 'a', 1, False)],
        set(),
    ),
    (
        'another start under the same id',
        [('put', 'a', 1, True), ('put', 'a', 2, False)],
        {('a', 2)},
    ),
    (
        'a late entry of an older start',
        [('put', 'a', 2, False), ('put', 'a', 1, False)],
        {('a', 2)},
    ),
    ('removed', [('put', 'a', 1, False), ('remove', 'a')], set()),
    (
        'removed and written again',
        [('put', 'a', 1, False), ('remove', 'a'), ('put', 'a', 1, False)],
        {('a', 1)},
    ),
    (
        'left and written again',
        [('put', 'a', 1, True), ('remove', 'a'), ('put', 'a', 1, False)],
        set(),
    ),
    ('address reused', [('put', 'a', 1, False), ('left', 'a', 1)], set()),
    (
        'address reused by a later start of the same id',
        [('put', 'a', 2, False), ('left', 'a', 1)],
        {('a', 2)},
    ),
]


@pytest.mark.parametrize(
    ('name', 'steps', 'expected'),
    ENTRY_SEQUENCES,
    ids=[row[0] for row in ENTRY_SEQUENCES],
)
def test_usable_incarnations(name: str, steps: list[tuple], expected: set) -> None:
    registry = Registry()
    for step in steps:
        if step[0] == 'put':
            put(registry, step[1], step[2], leaving=step[3])
        elif step[0] == 'remove':
            registry.remove(step[1], 0.0, after_outage=False)
        else:
            registry.mark_left(upstream(step[1], step[2]), 'address reused')
    usable = {entry.incarnation for entry in registry.usable('work')}
    assert usable == expected


LAPSE_CASES = [
    ('missing in a snapshot after an outage', 'replace'),
    ('removed after an outage', 'remove'),
]


@pytest.mark.parametrize(
    ('name', 'how'), LAPSE_CASES, ids=[row[0] for row in LAPSE_CASES]
)
@pytest.mark.parametrize('returns', [True, False])
def test_entries_lapsed_in_an_outage_stay_usable_for_the_grace_time(
    name: str, how: str, returns: bool
) -> None:
    registry = Registry()
    put(registry, 'a')
    if how == 'replace':
        registry.replace({}, 10.0, after_outage=True)
    else:
        registry.remove('a', 10.0, after_outage=True)
    assert registry.usable('work')
    if returns:
        put(registry, 'a')
    registry.expire(10.0 + LAPSE_GRACE_S)
    assert bool(registry.usable('work')) is returns


def test_replace_drops_entries_missing_from_the_snapshot() -> None:
    registry = Registry()
    put(registry, 'a')
    put(registry, 'b')
    entry = Registration(upstream('c'), False)
    registry.replace({'c': entry}, 0.0, after_outage=False)
    assert [one.id for one in registry.usable('work')] == ['c']


class RegistryMachine(RuleBasedStateMachine):
    """Applies entries in any order and compares with a reference model."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = Registry()
        self.entries: dict[str, tuple[int, bool]] = {}
        self.left: set[tuple[str, int]] = set()
        self.now = 0.0

    @rule(name=st.sampled_from('abc'), born=st.integers(1, 4), leaving=st.booleans())
    def write(self, name: str, born: int, leaving: bool) -> None:
        put(self.registry, name, born, leaving=leaving)
        if name in self.entries and self.entries[name][0] > born:
            return
        if leaving:
            self.left.add((name, born))
        self.entries[name] = (born, (name, born) in self.left)

    @rule(name=st.sampled_from('abc'))
    def remove(self, name: str) -> None:
        self.registry.remove(name, self.now, after_outage=False)
        self.entries.pop(name, None)

    @rule(name=st.sampled_from('abc'), born=st.integers(1, 4))
    def mark_as_left(self, name: str, born: int) -> None:
        self.registry.mark_left(upstream(name, born), 'address reused')
        self.left.add((name, born))
        if name in self.entries and self.entries[name][0] == born:
            self.entries[name] = (born, True)

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.registry.expire(self.now)

    @invariant()
    def agrees_with_the_reference_model(self) -> None:
        usable = {entry.incarnation for entry in self.registry.all()}
        expected = {
            (name, born)
            for name, (born, leaving) in self.entries.items()
            if not leaving
        }
        assert usable == expected
        assert not usable & self.left


TestRegistryMachine = RegistryMachine.TestCase
TestRegistryMachine.settings = settings(max_examples=80, stateful_step_count=30)


SUCCESSORS = [
    ('none', [], False),
    ('itself', [upstream()], False),
    ('later-start-under-its-id', [upstream(born=2)], True),
    ('later-start-under-another-id', [upstream('b', 2)], True),
    ('earlier-start-at-its-address', [upstream('b', 0)], False),
    (
        'later-start-at-another-address',
        [upstream('b', 2, address=Address('10.0.0.2', 80))],
        False,
    ),
]


# Guards against requests that are given up although their upstream still runs.
@pytest.mark.parametrize(
    ('entries', 'expected'),
    [row[1:] for row in SUCCESSORS],
    ids=[row[0] for row in SUCCESSORS],
)
def test_an_address_belongs_to_the_latest_start(
    entries: list[Upstream], expected: bool
) -> None:
    registry = Registry()
    for entry in entries:
        registry.put(Registration(entry, leaving=False))
    assert registry.is_succeeded(upstream()) is expected


# Time left of a, b and c, excluded ids, and which leave too soon for a request that is
# due in 1 s and ends in 5 s at the latest.
TIMES_LEFT = [
    ('no times', (None, None, None), set(), set()),
    ('one leaves', (2.0, None, None), set(), {'a'}),
    ('enough time', (6.0, None, None), set(), set()),
    ('all leave', (2.0, 0.5, 3.0), set(), {'b'}),
    ('the others are excluded', (2.0, None, None), {'b', 'c'}, set()),
    ('no time at all', (0.5, None, None), {'b', 'c'}, {'a'}),
]


# Guards against requests that are cut off when a reclaimed upstream leaves, also at a
# host that reads the whole registry only after the notice.
@pytest.mark.parametrize('snapshot', [False, True])
@pytest.mark.parametrize(
    ('name', 'times', 'excluded', 'expected'),
    TIMES_LEFT,
    ids=[row[0] for row in TIMES_LEFT],
)
def test_upstreams_that_leave_before_a_request_ends_are_found(
    name: str,
    times: tuple[float | None, ...],
    excluded: set[str],
    expected: set[str],
    snapshot: bool,
) -> None:
    registry = Registry()
    entries = {
        key: Registration(upstream(key), False, left_s)
        for key, left_s in zip('abc', times, strict=True)
    }
    for now in (100.0, 103.0):
        if snapshot:
            registry.replace(entries, now, after_outage=False)
        for entry in () if snapshot else entries.values():
            registry.put(entry, now)
    found = registry.leaving_too_soon(
        registry.usable('work'), frozenset(excluded), expires_at=105.0, due_at=101.0
    )
    assert found == expected
