"""Tickets of requests that dispatchers placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.datagrams import EndedRequest
from rosemaryseam.router.placement import Ticket
from rosemaryseam.router.queries import InFlightReport

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.handover import Handover
    from rosemaryseam.router.queries import Placement, Query
    from rosemaryseam.router.requests import AnswerHead
    from rosemaryseam.router.upstreams import Upstream

SILENT_S = 1.0  # streams of a sound engine never pause for so long
SILENT_PREFILL_S = 2.0  # beyond three times the expected wait for a first event


class DispatchTicket(Ticket):
    """A request of this host; tells its dispatcher what becomes of it.

    :param handover: of this host
    :param clock: the process's clock
    :param upstream: that gets the request
    :param query: as it was asked
    :param placement: as it was answered
    :param fetch_from: the engine to fetch cached parts from
    :param keeper: the host that placed it
    """

    def __init__(
        self,
        handover: Handover,
        clock: Clock,
        upstream: Upstream,
        query: Query,
        placement: Placement,
        fetch_from: Address | None,
        keeper: str,
    ) -> None:
        self._handover = handover
        self._clock = clock
        self._query = query
        self._placement = placement
        self._placed_at = clock.monotonic()
        self._last_event_at = self._placed_at
        self._started = False
        self._ended = False
        self.number = query.number
        self.parts = query.parts
        self.engine_speed = placement.engine_speed
        self.dispatcher = keeper
        self.upstream = upstream
        self.urgency = placement.urgency
        self.fetch_from = fetch_from
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.inputs = {**placement.inputs, 'dispatcher': keeper}

    def on_answer_head(self, head: AnswerHead) -> None:
        """Learn nothing; engines answer with their first event."""

    def on_event(self) -> None:
        """Note an event and the pause before it."""
        now = self._clock.monotonic()
        if self._started:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_event_at)
        else:
            self._started = True
            self.first_event_s = now - self._placed_at
            self._handover.report_started(self)
        self._last_event_at = now

    def is_overdue(self) -> bool:
        """Return whether the upstream has fallen silent."""
        waited = self._clock.monotonic() - self._last_event_at
        if not self._query.parts:
            limit = self._placement.answer_timeout_s
            return limit is not None and waited > limit
        if self._started:
            return waited > SILENT_S
        return waited > SILENT_PREFILL_S + 3 * self._placement.expected_first_s

    def end(self, outcome: str) -> None:
        """Note the end."""
        if not self._ended:
            self._ended = True
            took_s = self._clock.monotonic() - self._placed_at
            self._handover.note_ended(self)
            entry = EndedRequest(self.number, outcome, took_s)
            self._handover.report_ended(self.dispatcher, entry)

    def to_in_flight_report(self) -> InFlightReport:
        """Return what another dispatcher needs to know of the request."""
        query = self._query
        age = self._clock.monotonic() - self._placed_at
        prefill = self._placement.inputs.get('prefill_tokens', 0)
        own_tokens = query.parts[-1][1] if query.parts else 0
        return InFlightReport(
            number=self.number,
            upstream=self.upstream.id,
            rank=query.rank,
            prefill_tokens=0 if self._started else int(prefill),
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if query.parts else None,
            expected_first_s=self._placement.expected_first_s,
            age_s=age,
            patience_s=max(0.0, query.patience_s - age),
            started=self._started,
        )
