"""Placement, preemption, quorum, drain rate, retries and rendezvous hashing."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_ordering import queued_request

from rosemaryseam.policy.drain import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S, DrainRate
from rosemaryseam.policy.placement import load, place
from rosemaryseam.policy.preemption import (
    PreemptibleCall,
    choose_victim,
    preemptible_calls,
)
from rosemaryseam.policy.quorum import has_majority
from rosemaryseam.policy.rendezvous import HostCandidate, assign_partition, rank_by_hash
from rosemaryseam.policy.requests import UpstreamCapacity
from rosemaryseam.policy.retry import RetryBudget


def upstream(name: str, **change: Any) -> UpstreamCapacity:
    entry = UpstreamCapacity(name, 'zone-a', frozenset(), 4, 0, 0, False, False)
    return entry._replace(**change)


upstreams = st.lists(
    st.builds(
        upstream,
        st.sampled_from('abcdef'),
        used=st.integers(0, 4),
        leaving=st.booleans(),
        reported_waiting=st.integers(0, 3),
        classes=st.sampled_from([frozenset(), frozenset({'listing'})]),
    ),
    unique_by=lambda entry: entry.name,
)


@given(upstreams, st.sampled_from(['', 'prefix-1', 'prefix-2']))
@settings(derandomize=True, deadline=None)
def test_place_agrees_with_a_reference(
    found: list[UpstreamCapacity], prefix: str
) -> None:
    """The reference allows any upstream that is open, else none."""
    request = queued_request(1, 'coaching', 0.0, prefix=prefix, excluded=frozenset('a'))
    allowed = [
        entry
        for entry in found
        if entry.used < entry.concurrent
        and not entry.leaving
        and entry.name != 'a'
        and not entry.classes
    ]
    chosen = place(request, found)
    assert (chosen in allowed) if allowed else chosen is None
    if chosen is not None and not prefix:
        assert load(chosen) == min(load(entry) for entry in allowed)


def call(key: str, tier: int, upstream: str, since: float) -> PreemptibleCall:
    return PreemptibleCall(key, f'tier-{tier}', tier, upstream, since)


@pytest.mark.parametrize(
    ('floor', 'count', 'spare'), [(0.0, 1, 1), (0.05, 1, 0), (0.05, 2, 2), (0.5, 4, 0)]
)
def test_a_class_keeps_the_slots_of_its_floor(
    floor: float, count: int, spare: int
) -> None:
    calls = [call(f'{n}', 1, 'a', 1.0) for n in range(count)]
    assert len(preemptible_calls(calls, {'tier-1': floor}, slots=8)) == spare


@pytest.mark.parametrize(
    ('running', 'victim'),
    [
        ([], None),
        ([call('k', 0, 'a', 1.0)], None),
        ([call('k', 1, 'b', 1.0)], None),
        ([call('k', 1, 'a', 1.0)], 'k'),
        ([call('k', 1, 'a', 9.0), call('l', 2, 'a', 1.0)], 'l'),
        ([call('k', 2, 'a', 1.0), call('l', 2, 'a', 9.0)], 'l'),
    ],
)
def test_victim_is_the_latest_call_of_the_lowest_tier(
    running: list[PreemptibleCall], victim: str | None
) -> None:
    """Never a call of the same or a higher tier."""
    chosen = choose_victim(queued_request(1, 'coaching', 0.0), running, frozenset('a'))
    assert (chosen.key if chosen else None) == victim


@given(st.sets(st.sampled_from('abcdefg'), min_size=1), st.data())
@settings(derandomize=True, deadline=None)
def test_two_majorities_share_a_host(roster: set[str], data: st.DataObject) -> None:
    one = data.draw(st.sets(st.sampled_from(sorted(roster))))
    other = data.draw(st.sets(st.sampled_from(sorted(roster))))
    if has_majority(one, roster) and has_majority(other, roster):
        assert one & other
    rest = roster - one
    assert has_majority(one, roster) != has_majority(rest, roster)


@pytest.mark.parametrize(
    ('grants', 'ahead', 'expected'),
    [(0, 10, MIN_RETRY_AFTER_S), (20, 40, 20.0), (20, 1, 1.0), (1, 1000, 60.0)],
)
def test_retry_after_follows_the_drain_rate(
    grants: int, ahead: int, expected: float
) -> None:
    drain = DrainRate(window_s=10.0)
    for number in range(grants):
        drain.record(number * 10.0 / grants)
    wait = drain.retry_after_s(ahead, 10.0)
    assert wait == pytest.approx(expected, rel=0.1)
    assert MIN_RETRY_AFTER_S <= wait <= MAX_RETRY_AFTER_S


def test_retry_budget_is_a_share_of_first_attempts() -> None:
    budget = RetryBudget(ratio=0.2, minimum=0.0, maximum=10.0)
    spent = 0
    for _ in range(1000):
        budget.record_first_try()
        spent += budget.spend()
    assert spent == pytest.approx(200, abs=1)


@given(st.sets(st.text('abcdef', min_size=1, max_size=3), min_size=2), st.text())
@settings(derandomize=True, deadline=None)
def test_removing_a_name_keeps_the_order_of_the_others(
    names: set[str], key: str
) -> None:
    first, *rest = rank_by_hash(key, names)
    assert rank_by_hash(key, rest) == rest
    assert rank_by_hash(key, names - {rest[-1]})[0] == first


def test_partitions_spread_over_hosts_of_the_preferred_zone() -> None:
    hosts = [HostCandidate(f'host-{n}', f'zone-{n % 2}') for n in range(8)]
    placed = Counter(
        assign_partition(f'pool#{n}', hosts, {'zone-1': 3, 'zone-0': 1})
        for n in range(400)
    )
    assert set(placed) == {'host-1', 'host-3', 'host-5', 'host-7'}
    assert max(placed.values()) < 2 * min(placed.values())
