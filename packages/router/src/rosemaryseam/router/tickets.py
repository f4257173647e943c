"""Tickets of requests placed by dispatchers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from rosemaryseam.router.placement import Ticket
from rosemaryseam.router.queries import InFlightReport, suspect_digests

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.handover import Handover
    from rosemaryseam.router.queries import Placement, Query
    from rosemaryseam.router.requests import AnswerHead
    from rosemaryseam.router.upstreams import Upstream

STREAM_SILENCE_TIMEOUT_S = 1.0  # healthy engines never pause a stream for so long
MAX_HANDED_DIGESTS = 32  # the last ones, which fewer requests have
PREFILL_SILENCE_MARGIN_S = 2.0  # beyond three times the expected first-event time


class DispatchTicket(Ticket):
    """Tracks a request of this host and reports its progress to its dispatcher.

    :param handover: handover of this host
    :param clock: clock of the process
    :param upstream: upstream that gets the request
    :param query: query sent to the dispatcher
    :param placement: placement that the dispatcher replied with
    :param fetch_from: address of the engine to fetch cached parts from
    :param dispatcher: address of the host that placed the request
    """

    def __init__(
        self,
        handover: Handover,
        clock: Clock,
        upstream: Upstream,
        query: Query,
        placement: Placement,
        fetch_from: Address | None,
        dispatcher: str,
    ) -> None:
        self._handover = handover
        self._clock = clock
        self.query = query
        self._placement = placement
        self.placed_at = clock.monotonic()
        self._last_event_at = self.placed_at
        self._started = False
        self._ended = False
        self.number = query.number
        self.parts = query.parts
        self.engine_slowdown = placement.engine_slowdown
        self.dispatcher = dispatcher
        self.upstream = upstream
        self.urgency = placement.urgency
        self.fetch_from = fetch_from
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.expected_first_s = placement.expected_first_s
        self.inputs = {**placement.inputs, 'dispatcher': dispatcher}

    def on_answer_head(self, head: AnswerHead) -> None:
        """Report the limit, the brittleness and the load that the answer states."""
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return  # another upstream answered, at an address that was reused
        if head.load is not None:
            self._handover.loads.record_load(self.upstream, head.load)
        if head.signed or head.request_limit is not None:
            self._handover.report_limit(self, head.request_limit)
        if head.signed or head.brittle is not None:
            self._handover.report_brittle(self, head.brittle)

    def on_event(self) -> None:
        """Record the arrival of an event and the pause before it."""
        now = self._clock.monotonic()
        if self._started:
            pause_s = now - self._last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            self._handover.loads.record_event(self.upstream, pause_s)
        else:
            self._started = True
            self.first_event_s = now - self.placed_at
            self._handover.report_started(self)
        self._last_event_at = now

    def is_overdue(self) -> bool:
        """Return whether the upstream has been silent for too long."""
        if self.path is not None and self.path.is_lost():
            return True
        waited = self._clock.monotonic() - self._last_event_at
        if not self.query.parts:
            limit = self._placement.answer_timeout_s
            return limit is not None and waited > limit
        if self._started:
            return waited > STREAM_SILENCE_TIMEOUT_S
        return waited > PREFILL_SILENCE_MARGIN_S + 3 * self._placement.expected_first_s

    def end(self, outcome: str) -> None:
        """Record the end of the request and report it to the dispatcher."""
        if not self._ended:
            self._ended = True
            duration_s = self._clock.monotonic() - self.placed_at
            self._handover.end(self, outcome, duration_s)

    def to_in_flight_report(self) -> InFlightReport:
        """Return the report of this request for a new dispatcher."""
        query = self.query
        age = self._clock.monotonic() - self.placed_at
        prefill_tokens = self._placement.inputs.get('prefill_tokens', 0)
        own_tokens = query.parts[-1][1] if query.parts else 0
        return InFlightReport(
            number=self.number,
            upstream=self.upstream.id,
            rank=query.rank,
            prefill_tokens=0 if self._started else int(prefill_tokens),
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if query.parts else None,
            expected_first_s=self._placement.expected_first_s,
            age_s=age,
            expires_in_s=max(0.0, query.expires_in_s - age),
            started=self._started,
            digests=suspect_digests(query)[-MAX_HANDED_DIGESTS:],
            fingerprint=query.fingerprint,
        )
