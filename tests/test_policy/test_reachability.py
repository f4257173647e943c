"""Tests when a host counts as cut off from upstreams."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.reachability import Reachability, Wait

A, B, C = ('a', 1), ('b', 1), ('c', 1)


def replay(*events: tuple) -> Reachability:
    """Return the state after events, each a name, an upstream and a time."""
    state = Reachability()
    for name, upstream, now in events:
        if name == 'bytes':
            state.record_bytes(now)
        elif name in ('reached', 'down'):
            state.record_test(upstream, now, reached=name == 'reached')
        else:
            getattr(state, f'record_{name}')(upstream, now)
    return state


# Guards against a missed partition (None) and against one upstream's fault or the
# resets of live upstreams being taken for it.
@pytest.mark.parametrize(
    ('events', 'now', 'known', 'suspect'),
    [
        ([('failure', A, 0.0)], 0.0, 3, False),
        ([('failure', A, 0.0), ('failure', A, 0.3)], 0.3, 3, False),
        ([('failure', A, 0.0), ('failure', B, 0.3)], 0.3, 3, True),
        ([('failure', A, 0.0)], 0.0, 1, True),
        ([('failure', A, 0.0), ('failure', B, 0.3)], 3.0, 3, False),
        ([('failure', A, 0.0), ('connected', A, 0.1), ('failure', B, 0.3)], 1, 3, 0),
        ([('broken', A, 0.0), ('broken', B, 0.0)], 0.0, 3, False),
        ([('broken', A, 0.0), ('failure', B, 0.1)], 0.1, 3, True),
        # Open connections may go on while new ones fail.
        ([('failure', A, 0.0), ('bytes', A, 0.1), ('failure', B, 0.3)], 0.3, 3, True),
        ([('failure', A, 0.0), ('failure', B, 0.3), ('down', B, 0.4)], 0.4, 3, False),
    ],
)
def test_two_upstreams_that_cannot_be_reached_make_a_host_suspect(
    events: list[tuple], now: float, known: int, suspect: bool
) -> None:
    assert replay(*events).is_suspect(now, known) == suspect


# Guards against idle connections that are not used although nothing is wrong.
@pytest.mark.parametrize(
    ('events', 'recent'),
    [
        ([], False),
        ([('failure', A, 1.0)], True),
        ([('failure', A, 1.0), ('bytes', B, 1.1)], False),
        ([('bytes', B, 0.9), ('failure', A, 1.0)], True),
        ([('broken', A, 1.0)], True),
        ([('broken', A, 1.0), ('bytes', B, 1.1)], False),
    ],
)
def test_failure_is_recent_until_something_is_received(
    events: list[tuple], recent: bool
) -> None:
    assert replay(*events).has_recent_failure(1.2) == recent


# Guards against connects for upstreams that are only busy, and against hanging paths
# that nobody notices.
@pytest.mark.parametrize(
    ('waits', 'last_bytes', 'silent'),
    [
        ([Wait(A, 0.0, 0.0), Wait(B, 0.0, 0.0)], 0.0, {A, B}),
        ([Wait(A, 0.0, 0.0), Wait(B, 0.0, 0.0)], 0.8, set()),
        ([Wait(A, 0.0, 0.0), Wait(A, 0.0, 0.0)], 0.0, set()),
        ([Wait(A, 0.0, 0.0), Wait(B, 0.0, 2.0)], 0.0, set()),
        ([Wait(A, 0.0, 0.0), Wait(B, 0.7, 0.0)], 0.0, set()),
    ],
)
def test_silence_of_several_upstreams_is_checked(
    waits: list[Wait], last_bytes: float, silent: set
) -> None:
    assert replay(('bytes', A, last_bytes)).silent_upstreams(waits, 1.0) == silent


def partitioned() -> Reachability:
    """Return the state of a host that was just found to be cut off."""
    return replay(('failure', A, 0.0), ('failure', B, 0.3), ('reached', B, 0.4))


# Guards against a partition that ends too early, or never.
@pytest.mark.parametrize(
    ('reachable', 'ended'),
    [((A, B, C), True), ((A, B), True), ((C,), False), ((A,), False), ((), False)],
)
def test_partition_ends_when_two_upstreams_in_a_row_are_reached(
    reachable: tuple, ended: bool
) -> None:
    state = partitioned()
    now = 0.4
    for _ in range(12):
        now += 0.6
        probed = state.next_probe([A, B, C], now, 1.0)
        if probed is not None:
            state.record_probe(probed, now, 3, reached=probed in reachable)
    assert state.partitioned != ended
    # Only upstreams that cannot be reached are reached through others.
    if not ended:
        relayed = {name for name in (A, B, C) if state.uses_tunnel(name)}
        assert relayed == {A, B, C} - set(reachable)


def test_tests_are_repeated_only_after_a_pause_while_upstreams_are_down() -> None:
    state = replay(('failure', A, 0.0), ('failure', B, 0.0), ('down', A, 0.1))
    assert [state.may_test(now) for now in (0.1, 0.5, 0.7)] == [False, False, True]
    assert state.is_confirmed_down(A, 0.5)
    assert not state.is_confirmed_down(A, 1.5)
