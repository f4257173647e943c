"""Tests of the room of brittle upstreams."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

import pytest

from rosemaryseam.policy.engines import RequestKey
from rosemaryseam.policy.queueroom import QueueRoom

STEP_S = 0.005
REPORT_S = 0.02  # from a placement to the report of its rejection


class Upstream:
    """A brittle upstream with the dispatchers that send it requests all the time.

    :param rooms: decisions of its dispatchers
    :param accepts: requests that it takes at the same time
    :param work_s: duration of the work for a request, in seconds
    """

    def __init__(self, rooms: list[QueueRoom], accepts: int, work_s: float) -> None:
        self.rooms = rooms
        self.accepts = accepts
        self.work_s = work_s
        self.now = 0.0
        self.served = 0
        self.rejected_at: list[float] = []
        self._number = 0
        self._held = 0
        self._counts = [0 for _ in rooms]
        self._ends: deque[tuple[float, int, RequestKey, str]] = deque()

    def run(self, seconds: float, share: float = 1.0, seed: int = 1) -> None:
        """Send whatever the rooms allow."""
        rng = random.Random(seed)
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for end in [end for end in self._ends if end[0] <= self.now]:
                self._finish(*end)
            for host, room in enumerate(self.rooms):
                while self._may_send(room, host, share, rng):
                    self._send(room, host)

    def _may_send(
        self, room: QueueRoom, host: int, share: float, rng: random.Random
    ) -> bool:
        if share == 1.0:
            return room.is_open(self._counts[host], self.now)
        return room.is_open_to_share(self._counts[host], share, self.now, rng)

    def _send(self, room: QueueRoom, host: int) -> None:
        self._number += 1
        key = RequestKey(f'h{host}', self._number)
        self._counts[host] += 1
        room.record_placement(key, self._counts[host], self.now)
        if self._held < self.accepts:
            self._held += 1
            self._ends.append((self.now + self.work_s, host, key, 'done'))
        else:
            self.rejected_at.append(self.now)
            self._ends.append((self.now + REPORT_S, host, key, 'rejected'))

    def _finish(self, at: float, host: int, key: RequestKey, outcome: str) -> None:
        self._ends.remove((at, host, key, outcome))
        self.rooms[host].record_end(key, outcome, self._counts[host], self.now)
        self._counts[host] -= 1
        if outcome == 'done':
            self._held -= 1
            self.served += 1

    def most_rejections_per_s(self) -> int:
        """Return the most rejections in any second."""
        times = self.rejected_at
        return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


class Case(NamedTuple):
    """An upstream with the rejections per second and throughput that are allowed.

    ``accepts`` is what it takes at the same time, at first and later on.
    """

    name: str
    limit: float
    accepts: tuple[int, int]
    work_s: float
    rejections: int
    served_share: float


CASES = [
    Case('queue shrinks', 4, (30, 10), 0.05, 1, 0.9),
    Case('long work', 8, (32, 9), 1.0, 2, 0.75),
    Case('large limit', 40, (30, 12), 0.05, 10, 0.9),
    Case('one rejection crashes', 0, (30, 8), 0.05, 0, 0.9),
    Case('two rejections crash', 1, (30, 9), 0.05, 1, 0.9),
    Case('fewer than its slots', 8, (20, 4), 0.05, 6, 0.2),
]


# Guards against learning that costs more rejections than the upstream stands, and
# against room that stays so small that slots are unused.
@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_learning_costs_few_rejections(case: Case) -> None:
    room = QueueRoom(8, case.limit, 0.0, used=True)
    upstream = Upstream([room], case.accepts[0], case.work_s)
    upstream.run(3.0)
    upstream.accepts = case.accepts[1]
    served = upstream.served
    upstream.run(10.0)
    assert upstream.most_rejections_per_s() <= case.rejections
    capacity = min(8, case.accepts[1]) / case.work_s * 10.0
    assert upstream.served - served >= case.served_share * capacity


# Guards against a dispatcher that takes over and fills a queue that is full already.
def test_a_second_dispatcher_is_careful() -> None:
    rooms = [QueueRoom(8, 4.0, 0.0, used=True), QueueRoom(8, 4.0, 0.0)]
    upstream = Upstream(rooms[:1], 10, 0.5)
    upstream.run(2.0)
    upstream.rooms.append(rooms[1])
    upstream._counts.append(0)
    upstream.run(3.0)
    assert upstream.most_rejections_per_s() <= 4


# Guards against many substitutes that each send a request at the same time.
@pytest.mark.parametrize('hosts', [3, 20, 75])
def test_substitutes_together_send_few_requests(hosts: int) -> None:
    rejections = 0
    for seed in range(20):
        rooms = [QueueRoom(8, 4.0, 0.0) for _ in range(hosts)]
        upstream = Upstream(rooms, 0, 0.05)
        upstream.run(5.0, 0.5 / hosts, seed)
        rejections += len(upstream.rejected_at)
    # The times are random; on average they use a quarter of the limit at most.
    assert 1 <= rejections <= 20 * 5.0 * 4 / 4


CRASHES = [
    ('unreachable', 0.0, 2.0),
    ('crashed', 0.0, 2.0),
    ('unreachable', 1.0, 2.0),
    ('cancelled', 1.0, None),
    ('failed', 1.0, None),
]


# Guards against a burst on an upstream that has just started again.
@pytest.mark.parametrize(('outcome', 'silent_s', 'expected'), CRASHES)
def test_room_is_small_after_a_crash(
    outcome: str, silent_s: float, expected: float | None
) -> None:
    room = QueueRoom(8, 4.0, 0.0, used=True)
    first, second, third = (RequestKey('h', number) for number in range(3))
    if outcome == 'crashed':
        room.record_accepted(first, 0.0)
    room.record_end(first, outcome, 1, silent_s)
    at = silent_s
    if expected is None:
        assert room.is_open(5, at)
        return
    assert room.room(at + 30.0) == expected  # while it does not answer
    assert not room.is_open(1, at + 1.0)
    assert room.is_open(0, at + 1.0)
    room.record_placement(second, 1, at + 1.0)
    assert not room.is_open(0, at + 1.1)  # one try at a time
    room.record_end(second, 'done', 1, at + 1.2)
    sizes = [room.room(at + 1.2 + seconds) for seconds in (0.5, 1.5, 2.5)]
    assert sizes == [2.0, 4.0, pytest.approx(8.25)]
    room.record_placement(third, 3, at + 4.0)
    assert room.record_end(third, 'rejected', 3, at + 4.0) == 2.0


# Guards against hosts that lost their way to an upstream and stop it for all others.
def test_an_upstream_that_answers_others_has_not_crashed() -> None:
    room = QueueRoom(8, 4.0, 0.0, used=True)
    room.record_end(RequestKey('h', 1), 'done', 1, 1.0)
    room.record_end(RequestKey('h', 2), 'unreachable', 1, 1.1)
    assert room.room(1.1) > 8
    assert room.is_open(1, 1.1)


def test_the_rate_of_completions_is_measured() -> None:
    room = QueueRoom(8, 4.0, 0.0, used=True)
    for number in range(1000):
        room.record_end(RequestKey('h', number), 'done', 1, number / 100)
    assert room.completions_per_s(10.0) == pytest.approx(100.0, rel=0.05)
    assert room.completions_per_s(30.0) < 1.0


# Guards against requests to an upstream that has rejected half of what it stands.
def test_nothing_is_sent_for_a_second_after_half_of_the_rejections() -> None:
    room = QueueRoom(8, 4.0, 0.0, used=True)
    for number in range(2):
        assert room.is_open(0, 1.0)
        room.record_end(RequestKey('h', number), 'rejected', 12 - number, 1.0)
    assert not room.is_open(0, 2.0)
    assert room.is_open(0, 2.3)
