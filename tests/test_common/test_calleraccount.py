"""Tests of the account of the memory that callers occupy."""

from __future__ import annotations

import pytest

from rosemaryseam.common.calleraccount import (
    ANSWER_S,
    SMALL_BYTES,
    STALL_S,
    AccountCosts,
    CallerAccount,
    Holder,
    NoRoomError,
    Stage,
    choose_connection,
    choose_for_memory,
)
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.metrics import Metrics

COSTS = AccountCosts(connection=10, request=20, head_factor=2, header=5)
LIMIT = 8 * SMALL_BYTES
LARGE = SMALL_BYTES + 1


class FakeConnection(Holder):
    """A connection that records whether it had to yield."""

    def __init__(self, stage: Stage, since: float = 0.0) -> None:
        self.stage = stage
        self.since = since
        self.yielded = False

    def give_way(self, reason: str) -> None:
        """Record that the connection had to yield."""
        self.yielded = True


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def account(clock: ManualClock) -> CallerAccount:
    return CallerAccount(LIMIT, clock, Metrics(), costs=COSTS)


def add(account: CallerAccount, conn: FakeConnection, count: int) -> FakeConnection:
    account.add(conn)
    account.resize(conn, count)
    return conn


def test_account_is_empty_after_all_have_left(account: CallerAccount) -> None:
    conns = [
        add(account, FakeConnection(Stage.BODY), size) for size in (10, 500, LARGE)
    ]
    assert account.reserved_bytes == 510 + LARGE
    account.resize(conns[2], 10)
    assert account.reserved_bytes == 520
    for conn in conns:
        account.remove(conn)
        account.remove(conn)
    assert account.reserved_bytes == 0


def test_refused_growth_changes_nothing(account: CallerAccount) -> None:
    running = add(account, FakeConnection(Stage.RUNNING), LIMIT // 2)
    asking = add(account, FakeConnection(Stage.BODY), 100)
    with pytest.raises(NoRoomError):
        account.resize(asking, LIMIT // 2)
    assert asking.held_bytes == 100
    assert account.reserved_bytes == LIMIT // 2 + 100
    assert not running.yielded


def test_large_requests_leave_room_for_small_ones(account: CallerAccount) -> None:
    for _ in range(2):
        add(account, FakeConnection(Stage.RUNNING), 3 * SMALL_BYTES)
    with pytest.raises(NoRoomError):
        add(account, FakeConnection(Stage.BODY), LARGE)
    for _ in range(5):
        add(account, FakeConnection(Stage.RUNNING), SMALL_BYTES // 4)


# Stage and size of those that are there, size that is asked for, who yields.
YIELDING = [
    ('a stalled body', [(Stage.BODY, 3.0, -2 * STALL_S)], SMALL_BYTES, [0]),
    ('a larger body', [(Stage.BODY, 3.0, 0.0)], SMALL_BYTES, [0]),
    ('no smaller body', [(Stage.BODY, 1.1, 0.0)] * 5, 2 * SMALL_BYTES, None),
    ('no complete request', [(Stage.RUNNING, 3.0, -60.0)] * 2, LARGE, None),
    (
        'the stalled before the larger',
        [(Stage.BODY, 3.0, 0.0), (Stage.BODY, 2.9, -2 * STALL_S)],
        LARGE,
        [1],
    ),
    (
        'the largest of the stalled',
        [(Stage.BODY, 2.0, -9.0), (Stage.BODY, 3.9, -2 * STALL_S)],
        LARGE,
        [1],
    ),
    (
        'an idle connection for a small request',
        [(Stage.IDLE, 3.0, 0.0), (Stage.BODY, 2.9, 0.0)],
        SMALL_BYTES,
        [0],
    ),
    (
        'a larger body for a large request',
        [(Stage.IDLE, 2.9, 0.0), (Stage.BODY, 3.0, 0.0)],
        LARGE,
        [1],
    ),
    (
        'no one in vain',
        [(Stage.IDLE, 0.1, -9.0), (Stage.RUNNING, 5.8, 0.0)],
        2 * SMALL_BYTES,
        None,
    ),
    (
        'a refused one that saw its answer',
        [(Stage.REFUSED, 3.0, -2 * ANSWER_S), (Stage.REFUSED, 2.9, 0.0)],
        SMALL_BYTES,
        [0],
    ),
    ('no refused one before its answer', [(Stage.REFUSED, 5.9, 0.0)], LARGE, None),
]


@pytest.mark.parametrize(
    ('name', 'present', 'asked', 'expected'), YIELDING, ids=[row[0] for row in YIELDING]
)
def test_who_yields_memory(
    name: str,
    present: list[tuple[Stage, float, float]],
    asked: int,
    expected: list[int] | None,
    account: CallerAccount,
    clock: ManualClock,
) -> None:
    clock.advance(10.0)
    now = clock.monotonic()
    conns = []
    for stage, share, since in present:
        conn = FakeConnection(Stage.RUNNING, now + since)
        account.add(conn)
        # Fills the account without asking others to yield.
        conn.held_bytes = int(share * SMALL_BYTES)
        account.reserved_bytes += conn.held_bytes - COSTS.connection
        conn.stage = stage
        conns.append(conn)
    account.limit = account.reserved_bytes + COSTS.connection
    if asked > SMALL_BYTES:
        account.limit = int(account.limit / 0.75) + 1
    asking = FakeConnection(Stage.HEAD, now)
    account.add(asking)
    if expected is None:
        with pytest.raises(NoRoomError):
            account.resize(asking, asked)
    else:
        account.resize(asking, asked)
    yielded = [number for number, conn in enumerate(conns) if conn.yielded]
    assert yielded == (expected or [])


@pytest.mark.parametrize(
    ('stage', 'asked', 'expected'),
    [
        (Stage.RUNNING, SMALL_BYTES, [1, 0]),
        (Stage.HEAD, SMALL_BYTES, []),
        (Stage.RUNNING, LARGE, []),
    ],
    ids=['complete', 'unfinished', 'large'],
)
def test_smaller_unfinished_requests_yield_to_a_complete_one(
    stage: Stage, asked: int, expected: list[int]
) -> None:
    """Guards against heads without an end that leave no room for whole requests."""
    conns = [FakeConnection(stage, 10.0) for stage in (Stage.HEAD, Stage.BODY)]
    conns[0].held_bytes, conns[1].held_bytes = 400, 600
    asking = FakeConnection(stage, 10.0)
    victims = choose_for_memory(conns, asking, asked, 1000, 0, 10.0)
    assert [conns.index(victim) for victim in victims] == expected


@pytest.mark.parametrize(
    ('leaves', 'tries'), [(True, 2), (False, 21)], ids=['in time', 'too late']
)
def test_new_connection_waits_until_others_leave(
    leaves: bool, tries: int, account: CallerAccount, clock: ManualClock
) -> None:
    """Guards against refused callers that leave no room before they have left."""
    others = [
        add(account, FakeConnection(Stage.RUNNING), SMALL_BYTES) for _ in range(8)
    ]
    pauses = []

    def pause(seconds: float) -> None:
        pauses.append(seconds)
        clock.advance(seconds)
        if leaves:
            account.remove(others.pop())

    conn = FakeConnection(Stage.IDLE)
    if leaves:
        account.add(conn, pause)
        assert conn.held_bytes == COSTS.connection
    else:
        with pytest.raises(NoRoomError):
            account.add(conn, pause)
        assert conn.held_bytes == 0
    assert len(pauses) < tries


def test_refused_body_keeps_only_its_connection(account: CallerAccount) -> None:
    stalled = add(account, FakeConnection(Stage.BODY, -60.0), 5 * SMALL_BYTES)
    add(account, FakeConnection(Stage.BODY), 4 * SMALL_BYTES)
    assert stalled.yielded
    assert stalled.stage is Stage.REFUSED
    assert stalled.held_bytes == COSTS.connection
    assert account.reserved_bytes == 4 * SMALL_BYTES + COSTS.connection


CONNECTIONS = [
    ('an idle one', [(Stage.IDLE, -5.0), (Stage.BODY, -9.0)], 0),
    ('idle for longest', [(Stage.IDLE, -5.0), (Stage.IDLE, -9.0)], 1),
    ('a stalled body', [(Stage.IDLE, -0.1), (Stage.BODY, -9.0)], 1),
    ('a new one', [(Stage.IDLE, -0.1), (Stage.BODY, -0.1)], 0),
    ('a refused one', [(Stage.IDLE, -9.0), (Stage.REFUSED, -0.1)], 1),
    ('none', [(Stage.RUNNING, -9.0), (Stage.BODY, -0.1)], None),
]


@pytest.mark.parametrize(
    ('name', 'present', 'expected'), CONNECTIONS, ids=[row[0] for row in CONNECTIONS]
)
def test_who_yields_a_connection(
    name: str, present: list[tuple[Stage, float]], expected: int | None
) -> None:
    conns = [FakeConnection(stage, 10.0 + since) for stage, since in present]
    victim = choose_connection(conns, None, 10.0)
    assert victim is (None if expected is None else conns[expected])
    if victim is not None:
        assert choose_connection(conns, victim, 10.0) is not victim
