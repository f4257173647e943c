"""Order of service against a reference model, and its guarantees."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemaryseam.policy.ordering import WaitQueue
from rosemaryseam.policy.requests import QueuedRequest

TIERS = {'coaching': 0, 'booking': 1, 'drafting': 1, 'listing': 2}
TARGETS_S = {'coaching': 0.5, 'booking': 2.0, 'drafting': 5.0, 'listing': 10.0}
STARVATION_S = 5.0


def queued_request(number: int, name: str, now: float, **change: Any) -> QueuedRequest:
    entry = QueuedRequest(
        key=f'{name}-{number}',
        host='host-1',
        request_class=name,
        tier=TIERS[name],
        workspace='market',
        weight=1.0,
        arrived=now,
        due=now + TARGETS_S[name],
        expires_at=now + 30.0,
        floor=0.0,
        shed_on_miss=False,
        excluded=frozenset(),
        prefix='',
    )
    return entry._replace(**change)


def any_upstream(_request: QueuedRequest) -> bool:
    return True


class QueueMachine(RuleBasedStateMachine):
    """Checks a queue without floors against a list of the waiting requests."""

    @initialize()
    def start(self) -> None:
        self.queue = WaitQueue(STARVATION_S)
        self.waiting: list[QueuedRequest] = []
        self.served: dict[tuple[str, str], float] = {}
        self.now = 0.0
        self.count = 0

    @rule(name=st.sampled_from(sorted(TIERS)), workspace=st.sampled_from('abc'))
    def push(self, name: str, workspace: str) -> None:
        self.count += 1
        entry = queued_request(self.count, name, self.now, workspace=workspace)
        self.queue.push(entry, self.now)
        self.waiting.append(entry)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.waiting)
    @rule()
    def serve(self) -> None:
        chosen = self.queue.next(self.now, any_upstream)
        assert chosen is not None
        highest = min(entry.tier for entry in self.waiting)
        assert chosen.tier == highest
        same_queue = [
            entry
            for entry in self.waiting
            if (entry.request_class, entry.workspace)
            == (chosen.request_class, chosen.workspace)
        ]
        assert chosen == same_queue[0], 'first in, first out in a workspace'
        self.queue.serve(chosen, self.now)
        self.waiting.remove(chosen)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        entry = data.draw(st.sampled_from(self.waiting))
        assert self.queue.remove(entry.key) == entry
        self.waiting.remove(entry)

    @invariant()
    def counts_agree(self) -> None:
        backlog: dict[int, int] = {}
        for entry in self.waiting:
            backlog[entry.tier] = backlog.get(entry.tier, 0) + 1
        assert {t: n for t, n in self.queue.backlog().items() if n} == backlog
        assert len(self.queue) == len(self.waiting)
        assert {entry.key for entry in self.queue} == {e.key for e in self.waiting}

    @invariant()
    def shed_candidate_is_of_the_lowest_tier(self) -> None:
        candidate = self.queue.shed_candidate()
        if candidate is not None:
            assert candidate.tier == max(entry.tier for entry in self.waiting)


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(max_examples=100, deadline=None, derandomize=True)


@pytest.mark.parametrize('weights', [(1.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
def test_workspaces_are_served_by_weight(weights: tuple[float, float]) -> None:
    queue = WaitQueue()
    for number in range(400):
        for name, weight in zip('ab', weights, strict=True):
            entry = queued_request(
                number, 'drafting', 0.0, workspace=name, weight=weight
            )
            queue.push(entry._replace(key=f'{name}-{number}'), 0.0)
    served = {'a': 0, 'b': 0}
    for _ in range(200):
        chosen = queue.next(0.0, any_upstream)
        queue.serve(chosen, 0.0)
        served[chosen.workspace] += 1
    share = weights[0] / sum(weights)
    assert served['a'] == pytest.approx(200 * share, abs=2)


def test_an_idle_workspace_earns_no_credit() -> None:
    queue = WaitQueue()
    for number in range(100):
        queue.push(queued_request(number, 'drafting', 0.0, workspace='a'), 0.0)
    for _ in range(50):
        queue.serve(queue.next(0.0, any_upstream), 0.0)
    for number in range(100, 200):
        queue.push(queued_request(number, 'drafting', 0.0, workspace='b'), 0.0)
    served = []
    for _ in range(20):
        chosen = queue.next(0.0, any_upstream)
        queue.serve(chosen, 0.0)
        served.append(chosen.workspace)
    assert served.count('a') >= 9


@pytest.mark.parametrize(
    ('floor', 'higher_due_s', 'expected'),
    [(0.0, 100.0, 0), (0.1, 100.0, 10), (0.1, -1.0, 0)],
    ids=['no floor', 'floor', 'higher tier is late'],
)
def test_floor_delays_a_higher_tier_only_within_its_target(
    floor: float, higher_due_s: float, expected: int
) -> None:
    queue = WaitQueue(STARVATION_S)
    for number in range(200):
        queue.push(queued_request(number, 'coaching', 0.0, due=higher_due_s), 0.0)
        queue.push(queued_request(number, 'listing', 0.0, floor=floor), 0.0)
    served = []
    for _ in range(100):
        chosen = queue.next(0.0, any_upstream)
        queue.serve(chosen, 0.0)
        served.append(chosen.request_class)
    assert served.count('listing') == pytest.approx(expected, abs=1)


def test_a_starving_class_is_served_once_per_window() -> None:
    queue = WaitQueue(STARVATION_S)
    now = 0.0
    served = []
    for number in range(100):
        queue.push(queued_request(number, 'coaching', now, due=-1.0), now)
        queue.push(queued_request(number, 'listing', now, floor=0.01), now)
    for _ in range(80):
        now += 0.5
        chosen = queue.next(now, any_upstream)
        queue.serve(chosen, now)
        if chosen.request_class == 'listing':
            served.append(now)
    gaps = [after - before for before, after in zip(served, served[1:], strict=False)]
    assert served[0] <= STARVATION_S + 0.5
    assert max(gaps) <= STARVATION_S + 0.5
    assert min(gaps) >= STARVATION_S


def test_a_request_queued_again_gets_its_former_place() -> None:
    queue = WaitQueue()
    queue.push(queued_request(1, 'drafting', 5.0), 5.0)
    queue.push(queued_request(2, 'drafting', 6.0), 6.0)
    queue.push(queued_request(3, 'drafting', 1.0), 7.0)
    assert queue.next(7.0, any_upstream).key == 'drafting-3'


def test_a_request_that_fits_nowhere_does_not_block_others() -> None:
    queue = WaitQueue()
    queue.push(queued_request(1, 'coaching', 0.0), 0.0)
    queue.push(queued_request(2, 'listing', 0.0), 0.0)
    chosen = queue.next(0.0, lambda entry: entry.request_class == 'listing')
    assert chosen.request_class == 'listing'
