"""Log events and metrics of the attempts that an upstream answered or did not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.router.requests import Framing

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.admission import AdmittedRequest, AttemptHistory
    from rosemaryseam.router.placement import Ticket
    from rosemaryseam.router.relay import StreamRelay
    from rosemaryseam.router.reply import Reply
    from rosemaryseam.router.silence import OpenAnswer


class AnswerLog:
    """Logs how answers ended.

    :param clock: clock of the process
    :param metrics: counters of the process
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics

    def record_answer(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        reply: Reply,
        answer: OpenAnswer,
    ) -> None:
        """Record an answer that the caller has got to its end.

        :param admitted: answered request
        :param attempts: attempts to serve it
        :param relay: relay of its events
        :param reply: answer to the caller
        :param answer: answer of the upstream
        """
        ticket, conn, head, _ = answer
        written = conn.has_written()
        elapsed = self._clock.monotonic() - admitted.request.arrived
        self._metrics.observe('request', elapsed, route=admitted.route.name)
        if head.framing is Framing.CLOSE:
            self._metrics.count('answers_ended_by_close', written=str(written).lower())
        log_event(
            'request_answered',
            id=admitted.request.id,
            upstream=ticket.upstream.id,
            status=head.status,
            ms=int(elapsed * 1000),
            first_ms=_to_ms(ticket.first_event_s),
            pause_ms=int(ticket.longest_pause_s * 1000),
            framing=head.framing.value,
            caller_framing=reply.framing.value if reply.framing else None,
            media_type=head.media_type.decode('latin-1'),
            events=relay.event_count,
            unfinished_bytes=relay.unfinished_bytes,
            runs=attempts.runs + 1,
            body_bytes=len(admitted.request.body),
            written=written,
            write_error=repr(conn.write_error) if conn.write_error else None,
        )

    def record_cancelled(
        self, admitted: AdmittedRequest, ticket: Ticket, relay: StreamRelay
    ) -> None:
        """Record an attempt that ended because of a disconnect or a timeout.

        :param admitted: request of the attempt
        :param ticket: ticket of the attempt
        :param relay: relay of its events
        """
        now = self._clock.monotonic()
        log_event(
            'attempt_cancelled',
            id=admitted.request.id,
            upstream=ticket.upstream.id,
            ms=int((now - admitted.request.arrived) * 1000),
            left_ms=int((admitted.expires_at - now) * 1000),
            events=relay.event_count,
            first_ms=_to_ms(ticket.first_event_s),
            pause_ms=int(ticket.longest_pause_s * 1000),
        )


def _to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * 1000)
