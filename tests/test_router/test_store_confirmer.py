"""Tests the question whether the feed lacks changes of the store."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import Changes, Item, StorePosition
from rosemaryseam.router.storeconfirmer import RETRY_S, TIMEOUT_S, StoreConfirmer

QUIET = Item('quiet', b'x', 7)
URGENT = Item('urgent', b'x', 6)


class Followed:
    """A store with some changes and a feed that may apply them later."""

    def __init__(self, *changes: Item, reaches: int = 5, error: bool = False) -> None:
        self.position: StorePosition | None = StorePosition(0, 5)
        self.changes = changes
        self.reaches = reaches
        self.error = error
        self.calls = 0
        self.confirmed = 0
        self.origins: list[Item] = []

    def watch_range(self, *_: object) -> Changes:
        """Return the changes, and have the feed apply some of them soon."""
        self.calls += 1
        if self.error:
            raise PlatformError('no answer')
        gevent.spawn_later(0.05, self._advance)
        return Changes(self.changes, StorePosition(0, 9))

    def _advance(self) -> None:
        self.position = StorePosition(0, self.reaches)

    def record_confirmation(self, _: float) -> None:
        """Count a confirmation."""
        self.confirmed += 1

    def confirmer(self) -> StoreConfirmer:
        """Return a confirmer of this feed and store."""
        return StoreConfirmer(
            self,
            '',
            self,
            SystemClock(),
            Metrics(),
            lambda key: key != 'quiet',
            lambda others: self.origins.extend(others.items),
        )


CASES: list[tuple[str, dict[str, Any], tuple[Item, ...], bool]] = [
    ('no change', {}, (), True),
    ('a change that comes late to relayed hosts', {}, (QUIET,), True),
    ('a change that the feed applies', {'reaches': 6}, (URGENT, QUIET), True),
    ('a change that the feed does not apply', {}, (URGENT,), False),
    ('no answer', {'error': True}, (), False),
]


# Guards against streams that are refused by hosts which read through others, as origins
# of streams reach them half a second later than the store has them (LOST).
@pytest.mark.parametrize(
    ('name', 'options', 'changes', 'expected'), CASES, ids=[row[0] for row in CASES]
)
def test_only_urgent_changes_are_waited_for(
    name: str, options: dict[str, Any], changes: tuple[Item, ...], expected: bool
) -> None:
    followed = Followed(*changes, **options)
    with gevent.Timeout(2 * TIMEOUT_S):
        assert followed.confirmer().confirm() is expected
    assert followed.confirmed == expected
    assert followed.origins == list(changes)


# Guards against take-ups that are refused again and again without anybody noticing.
def test_an_unexpected_error_is_shown_as_failing_work() -> None:
    followed = Followed(URGENT, reaches=6)
    followed.origins = None
    confirmer = followed.confirmer()
    assert not confirmer.confirm()
    assert not confirmer.confirm()
    assert confirmer._metrics.work_failures.failing()['confirm_store'].in_a_row == 1
    followed.origins = []
    gevent.sleep(RETRY_S)
    assert confirmer.confirm()
    assert confirmer._metrics.work_failures.failing() == {}


def test_questions_share_a_call_and_failures_are_not_repeated() -> None:
    followed = Followed(error=True)
    confirmer = followed.confirmer()
    asked = [gevent.spawn(confirmer.confirm) for _ in range(20)]
    gevent.joinall(asked)
    assert followed.calls == 1
    assert not confirmer.confirm()
    assert followed.calls == 1
