"""Confirms that this host knows all that is in the store at a moment."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.fairness import attempt
from rosemaryseam.common.rangestore import StorePosition
from rosemaryseam.router.feed import OtherItems

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.router.feed import StateFeed

BATCH_S = 0.005  # within which questions share a call
TIMEOUT_S = 0.5  # for the call and for the feed to catch up
RETRY_S = 0.5  # after a failure, within which all questions fail at once
POLL_S = 0.005  # between two looks at the feed


class StoreConfirmer:
    """Asks the store whether it has changes that the feed has not applied.

    The feed's own watch cannot tell: it may wait on a connection that is dead, and a
    process that stood still does not know for how long.

    :param store: client of the store itself
    :param root: prefix of the keys that the feed follows
    :param feed: feed of this host
    :param clock: clock of the process
    :param metrics: counters of the process
    :param is_urgent: returns whether hosts that read through others wait for changes of
        a key; they get the others up to half a second later
    :param on_origins: called with the origins of streams that the feed may lack
    """

    def __init__(
        self,
        store: RangeStore,
        root: str,
        feed: StateFeed,
        clock: Clock,
        metrics: Metrics,
        is_urgent: Callable[[str], bool],
        on_origins: Callable[[OtherItems], None],
    ) -> None:
        self._store = store
        self._root = root
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._is_urgent = is_urgent
        self._on_origins = on_origins
        self._pending: AsyncResult | None = None
        self._failed_until = -math.inf

    def confirm(self) -> bool:
        """Return whether the feed has applied all urgent changes up to this moment.

        Waits for the store, and for the feed if there are such changes.
        """
        if self._clock.monotonic() < self._failed_until:
            return False
        pending = self._pending
        if pending is None:
            pending = self._pending = AsyncResult()
            gevent.spawn_later(BATCH_S, self._answer, pending)
        return pending.get()

    def _answer(self, pending: AsyncResult) -> None:
        self._pending = None  # later questions need a later call
        self._metrics.count('store_confirmations')
        answers: list[bool] = []
        attempt(
            'confirm_store', lambda: answers.append(self._ask_in_time()), self._metrics
        )
        confirmed = answers == [True]
        if not confirmed:
            self._failed_until = self._clock.monotonic() + RETRY_S
        pending.set(confirmed)

    def _ask_in_time(self) -> bool:
        try:
            with gevent.Timeout(TIMEOUT_S, PlatformError('no answer in time')):
                self._ask()
        except PlatformError as exc:
            log_event('store_not_confirmed', reason=exc.message)
            return False
        return True

    def _ask(self) -> None:
        position, asked_at = self._feed.position, self._clock.monotonic()
        if position is None:
            raise PlatformError('nothing is known of the store yet')
        changes = self._store.watch_range(self._root, position, 0.0)
        self._on_origins(OtherItems(changes.items))
        urgent = [one.revision for one in changes.items if self._is_urgent(one.key)]
        newest = StorePosition(position.era, max(urgent, default=position.revision))
        while not self._has_reached(newest):
            gevent.sleep(POLL_S)
        self._feed.record_confirmation(asked_at)

    def _has_reached(self, newest: StorePosition) -> bool:
        position = self._feed.position
        return position is not None and position >= newest
