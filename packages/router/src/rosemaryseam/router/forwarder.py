"""Forwards requests: route lookup, authentication, placement, retries, answer."""

from __future__ import annotations

import itertools
import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.policy.retrybudget import FleetRetryBudget
from rosemaryseam.router.admission import AdmittedRequest, AttemptHistory, RefusalError
from rosemaryseam.router.answerend import EndCheck
from rosemaryseam.router.answerlog import AnswerLog
from rosemaryseam.router.brittleness import is_room_refusal
from rosemaryseam.router.codec import BadRequestError
from rosemaryseam.router.events import EventSplitter, EventTooLongError
from rosemaryseam.router.faults import (
    BrokenError,
    DeclinedError,
    ForeignBytesError,
    NotSentError,
    SendError,
    SilentError,
)
from rosemaryseam.router.placement import NoUpstreamError, UnplacedRequest
from rosemaryseam.router.queries import fingerprint
from rosemaryseam.router.quiet import QuietPeriods
from rosemaryseam.router.relay import StreamRelay, read_body, relay_answer
from rosemaryseam.router.reply import CutOffError
from rosemaryseam.router.requesthandler import RequestHandler
from rosemaryseam.router.requests import UpstreamCall
from rosemaryseam.router.routes import Repeat, pick_service
from rosemaryseam.router.silence import NoTakeoverError, OpenAnswer, SilenceWatch
from rosemaryseam.router.usagecounts import NoRequestCounter

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.policy.retrybudget import RetryBudgetLimits
    from rosemaryseam.router.codec import HttpCodec, RequestHead
    from rosemaryseam.router.demandcounts import DemandCounts
    from rosemaryseam.router.feed import StateFeed
    from rosemaryseam.router.placement import Placer, Ticket
    from rosemaryseam.router.pool import ConnectionPool
    from rosemaryseam.router.reply import Reply
    from rosemaryseam.router.requesthandler import ReceivedRequest
    from rosemaryseam.router.requests import AnswerHead, CallerRequest
    from rosemaryseam.router.resumption import StreamResumption
    from rosemaryseam.router.routes import Route, RoutingTable, Workspace
    from rosemaryseam.router.upstreamconnection import UpstreamConnection
    from rosemaryseam.router.upstreams import Registry, Upstream
    from rosemaryseam.router.usagecounts import RequestCounter

DEFAULT_TIMEOUT_S = 30.0  # for requests that state no deadline
OTHER_HOST_RETRY_AFTER_S = 0.25  # for refusals that may not apply to other hosts
NO_UPSTREAM_RETRY_AFTER_S = 0.5  # when no attempt can have run the request
DRAIN_REFUSAL_DELAY_S = 2.6  # by then the balancer sends connections to other hosts
DRAIN_RETRY_AFTER_S = 0.05  # another host accepts the request at once
MAX_RETURN_SPREAD = 1.25  # longest over shortest time at which refused callers return
MIN_ATTEMPT_S = 0.02  # no retry with less time left
MAX_PATH_FAILURES = 3  # for which the upstreams of a request are not excluded
FIRST_SERVER_ERROR_STATUS = 500


class _AllQuietError(NoUpstreamError):
    """All upstreams want a pause."""


class Forwarder(RequestHandler):
    """Answers requests by forwarding them to upstreams.

    :param feed: provides the routing table and its staleness
    :param registry: usable upstreams
    :param resumption: finds where streams go on that callers take up
    :param pool: connections to upstreams
    :param placer: chooses an upstream for each attempt
    :param codec: encodes and decodes heads
    :param clock: clock of the process
    :param metrics: counters of the process
    :param budget_limits: limits of the retry budget of all hosts
    :param hosts: returns the number of hosts that share the retry budget
    :param max_key_staleness_s: staleness of the table in seconds from which API keys
        are not accepted
    :param rng: random numbers for the choice between weighted services
    :param demand: counts the demand for services
    :param counter: counts the requests that upstreams began to execute
    """

    def __init__(
        self,
        feed: StateFeed,
        registry: Registry,
        resumption: StreamResumption,
        pool: ConnectionPool,
        placer: Placer,
        codec: HttpCodec,
        clock: Clock,
        metrics: Metrics,
        budget_limits: RetryBudgetLimits,
        hosts: Callable[[], int],
        max_key_staleness_s: float,
        rng: random.Random,
        demand: DemandCounts,
        counter: RequestCounter | None = None,
    ) -> None:
        self._feed = feed
        self._registry = registry
        self._resumption = resumption
        self._pool = pool
        self._placer = placer
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._budget_limits = budget_limits
        self._count_hosts = hosts
        self._max_key_staleness_s = max_key_staleness_s
        self._rng = rng
        self._demand = demand
        self._counter = counter or NoRequestCounter()
        self._answer_log = AnswerLog(clock, metrics)
        self._end_check = EndCheck(registry, pool, clock)
        self._budgets: dict[str, FleetRetryBudget] = {}
        self._quiet = QuietPeriods(clock)
        self._stops_at: float | None = None
        self._refuses_at = math.inf

    def begin_drain(self, stops_at: float) -> None:
        """Start to refuse requests that may not complete before the process ends.

        Refusals begin :data:`DRAIN_REFUSAL_DELAY_S` after this call, or after half of
        the time if that is shorter.

        :param stops_at: monotonic time at which running requests are aborted
        """
        now = self._clock.monotonic()
        self._stops_at = stops_at
        self._refuses_at = now + min(DRAIN_REFUSAL_DELAY_S, (stops_at - now) / 2)

    def check_head(self, head: RequestHead, arrived: float) -> float:
        """Check a request before its body is read."""
        request = self._decode(head, b'', arrived)
        try:
            return self._admit(request).expires_at
        except RefusalError as exc:
            exc.request_id = request.id
            raise

    def handle(self, received: ReceivedRequest, reply: Reply) -> None:
        """Answer one request."""
        request: CallerRequest | None = None
        try:
            request = self._decode(*received)
            admitted = self._admit(request)
            self._forward(admitted, reply)
        except RefusalError as exc:
            self._refuse(request, exc, reply)

    # Admission.

    def _decode(
        self, head: RequestHead, body: bytes | memoryview, arrived: float
    ) -> CallerRequest:
        try:
            return self._codec.decode_request(head, body, arrived)
        except BadRequestError as exc:
            raise RefusalError(400, ResultCode.BAD_REQUEST, str(exc)) from exc

    def _admit(self, request: CallerRequest) -> AdmittedRequest:
        table = self._feed.table
        if table is None:
            raise RefusalError(
                503,
                ResultCode.NOT_READY,
                'no configuration is known yet',
                OTHER_HOST_RETRY_AFTER_S,
                close=True,
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            raise RefusalError(404, ResultCode.NOT_FOUND, 'no route matches')
        workspace = self._authenticate(table, route, request)
        name = pick_service(route, self._rng.random())
        service = table.services.get(name) if name else None
        if service is None:
            raise RefusalError(
                503, ResultCode.NO_UPSTREAM, 'the route has no service', 1.0
            )
        timeout_s = min(request.timeout_s or DEFAULT_TIMEOUT_S, route.timeout_s)
        expires_at = request.arrived + timeout_s
        self._check_drain(expires_at)
        return AdmittedRequest(
            request, route, service, workspace, table.version, expires_at
        )

    def _check_drain(self, expires_at: float) -> None:
        """Refuse a request that may not complete before the process ends.

        Refuses nothing until the load balancer has stopped sending connections.
        """
        if self._stops_at is None or expires_at <= self._stops_at:
            return
        if self._clock.monotonic() > self._refuses_at:
            raise RefusalError(
                503,
                ResultCode.NOT_READY,
                'the host stops',
                DRAIN_RETRY_AFTER_S,
                close=True,
            )

    def _authenticate(
        self, table: RoutingTable, route: Route, request: CallerRequest
    ) -> Workspace | None:
        if route.public or not table.needs_keys:
            return None
        staleness_s = self._feed.staleness_s()
        if staleness_s >= self._max_key_staleness_s:
            raise RefusalError(
                503,
                ResultCode.KEY_VALUE_UNAVAILABLE,
                f'keys cannot be checked: last contact {staleness_s:.1f} s ago',
                OTHER_HOST_RETRY_AFTER_S,
                close=True,
            )
        workspace = table.find_workspace(request.api_key or '')
        if workspace is None:
            raise RefusalError(401, ResultCode.UNAUTHENTICATED, 'unknown API key')
        return workspace

    def _check_key_again(
        self, admitted: AdmittedRequest, attempts: AttemptHistory
    ) -> None:
        """Check the key directly before a send.

        The process may have been paused since the request was admitted.
        """
        table = self._feed.table
        if table is None or admitted.workspace is None:
            return
        try:
            self._authenticate(table, admitted.route, admitted.request)
        except RefusalError as exc:
            if not attempts.runs:
                raise
            raise BrokenError(f'not sent again: {exc}') from exc

    # Sending requests.

    def _forward(self, admitted: AdmittedRequest, reply: Reply) -> None:
        attempts = AttemptHistory()

        def record_begin(upstream: Upstream) -> None:
            self._counter.began(admitted, attempts)
            self._resumption.record_begin(admitted, upstream)

        relay = StreamRelay(reply, record_begin)
        expires_in_s = admitted.expires_at - self._clock.monotonic()
        try:
            with gevent.Timeout(max(0.0, expires_in_s)):
                admitted = self._resumption.admit(admitted, relay)
                while not self._attempt(admitted, attempts, relay, reply):
                    pass
        except (gevent.Timeout, CutOffError) as exc:
            self._handle_timeout(
                admitted, attempts, reply, cut_off=isinstance(exc, CutOffError)
            )
            raise self._final_refusal(attempts, timed_out=True) from exc
        finally:
            self._return_retry(admitted, attempts)
            if attempts.successor is not None:
                attempts.successor.close()

    def _handle_timeout(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        reply: Reply,
        *,
        cut_off: bool,
    ) -> None:
        log_event(
            'request_timed_out',
            id=admitted.request.id,
            route=admitted.route.name,
            arrivals=attempts.arrivals,
            started=reply.started,
            cut_off=cut_off,
        )
        if reply.started:
            reply.abort()

    def _attempt(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        reply: Reply,
    ) -> bool:
        """Make one attempt; return whether the caller has its answer."""
        answer, attempts.successor = attempts.successor, None
        ticket = answer.ticket if answer else self._place(admitted, attempts, relay)
        if ticket is None:
            self._report_failure(admitted, attempts, reply)
            return True
        outcome = 'cancelled'
        error_answer = attempts.error_answer
        watch = self._watch_silence(admitted, attempts, relay, ticket)
        try:
            if answer is None:
                answer = self._open(
                    admitted, attempts, relay, ticket, watch.is_replaced
                )
            else:
                _set_abort_check(answer.conn, admitted.route, watch.is_replaced)
            self._relay_answer(admitted, attempts, relay, reply, answer)
            failed = answer.head.status >= FIRST_SERVER_ERROR_STATUS
            outcome = 'failed' if failed else 'done'
            return True
        except SilentError as exc:
            outcome = 'silent'
            self._record_failure(admitted, attempts, ticket, exc)
            attempts.successor = _fitting_successor(watch, relay)
        except SendError as exc:
            outcome = _outcome(exc, attempts)
            self._record_failure(admitted, attempts, ticket, exc)
            if (
                isinstance(exc, BrokenError)
                and attempts.error_answer is error_answer
                and self._has_crashed(admitted, ticket.upstream)
            ):
                outcome = 'crashed'
            attempts.successor = _fitting_successor(watch, relay)
        finally:
            watch.close()
            ticket.end(outcome)
            if outcome == 'cancelled':
                self._answer_log.record_cancelled(admitted, ticket, relay)
        if attempts.successor is not None:
            return False
        obstacle = self._retry_obstacle(admitted, attempts, relay)
        if obstacle is not None:
            log_event('retry_ruled_out', id=admitted.request.id, reason=obstacle)
            self._report_failure(admitted, attempts, reply)
            return True
        return False

    def _place(
        self, admitted: AdmittedRequest, attempts: AttemptHistory, relay: StreamRelay
    ) -> Ticket | None:
        """Return a ticket, or ``None`` if there is no upstream for a retry.

        :raises RefusalError: if there is no upstream for the first attempt
        """
        try:
            ticket = self._find_ticket(admitted, attempts, relay, attempts.excluded)
            if attempts.failure is None:
                self._demand.record_placed(admitted, ticket.inputs)
            return ticket
        except NoUpstreamError as exc:
            if isinstance(exc, _AllQuietError) or is_room_refusal(exc):
                attempts.retry_after_s = exc.retry_after_s
            if attempts.failure is not None:
                log_event('retry_ruled_out', id=admitted.request.id, reason=str(exc))
                return None
            self._demand.record_refused(admitted)
            raise RefusalError(
                503, ResultCode.NO_UPSTREAM, str(exc), exc.retry_after_s
            ) from exc

    def _find_ticket(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        excluded: frozenset[str],
    ) -> Ticket:
        """Return a ticket for an upstream that is not excluded.

        A stream that has begun goes on only at the software version that began it.

        :raises NoUpstreamError: if there is none
        """
        usable = self._registry.usable(admitted.service.name)
        version = relay.version
        if version is not None:
            usable = tuple(entry for entry in usable if entry.version == version)
            if not usable:
                reason = f'no upstream of version {version} is registered'
                raise NoUpstreamError(reason, NO_UPSTREAM_RETRY_AFTER_S)
        excluded |= self._quiet.names(usable)
        excluded |= self._registry.leaving_too_soon(
            usable,
            excluded,
            admitted.expires_at,
            admitted.request.arrived + admitted.route.first_byte_target_s,
        )
        if usable and all(entry.id in excluded for entry in usable):
            # Nothing can be sent before the first of them wants requests again.
            wait_s = self._quiet.shortest_s(usable) or NO_UPSTREAM_RETRY_AFTER_S
            wait_s *= self._rng.uniform(1.0, MAX_RETURN_SPREAD)
            raise _AllQuietError('all upstreams want a pause', wait_s)
        unplaced = UnplacedRequest(
            admitted.request,
            admitted.route,
            admitted.service,
            admitted.route.rank,
            admitted.workspace_rank,
            excluded,
            admitted.request.arrived + admitted.route.first_byte_target_s,
            admitted.expires_at,
            attempts.arrivals > 0,
            version,
        )
        return self._placer.place(unplaced, usable)

    def _open(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        ticket: Ticket,
        should_abort: Callable[[], bool],
    ) -> OpenAnswer:
        """Send the request and return its answer once the head has arrived.

        :param should_abort: returns whether to stop waiting for the upstream
        """
        upstream = ticket.upstream
        expires_in_s = admitted.expires_at - self._clock.monotonic()
        call = UpstreamCall(
            admitted.request,
            upstream.id,
            admitted.workspace.name if admitted.workspace else None,
            expires_in_s,
            ticket.urgency,
            relay.last_event_id,
            ticket.fetch_from,
        )
        headers = self._codec.encode_call(call)
        recently_used = admitted.route.repeat is Repeat.NEVER
        conn = self._pool.acquire(upstream, recently_used=recently_used)
        try:
            self._check_key_again(admitted, attempts)
            if relay.version is not None:
                self._resumption.check_upstream(upstream, conn)
            self._record_arrival(admitted, attempts)
            log_event(
                'request_sent',
                id=admitted.request.id,
                route=admitted.route.name,
                version=admitted.version,
                table_age_ms=int(self._feed.staleness_s() * 1000),
                upstream=upstream.id,
                software=upstream.version,
                attempt=attempts.arrivals,
                resumes=admitted.request.resumed_id,
                resume_after=_to_text(
                    call.resume_after or admitted.request.resume_after
                ),
                reused=conn.requests_served,
                left_ms=int(expires_in_s * 1000),
                urgency=ticket.urgency,
                **ticket.inputs,
            )
            _set_abort_check(conn, admitted.route, should_abort)
            ticket.path = conn.path
            conn.path.expected_s = ticket.expected_first_s
            conn.send(
                admitted.request.method,
                admitted.request.target,
                headers,
                admitted.request.body,
            )
            head = conn.read_head(admitted.request.id)
            self._apply_notices(upstream, head)
            ticket.on_answer_head(head)
            self._check_head(admitted, attempts, relay, upstream, conn, head)
        except BaseException:
            conn.close()
            raise
        parts = self._end_check.parts(
            upstream,
            conn,
            head,
            admitted.expires_at,
            streamed=admitted.route.streamed,
        )
        return OpenAnswer(ticket, conn, head, parts)

    # Upstreams that fall silent.

    def _watch_silence(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        ticket: Ticket,
    ) -> SilenceWatch:
        """Return a watch that replaces the upstream when it is silent for too long."""

        def take_over() -> OpenAnswer:
            return self._take_over(admitted, attempts, relay, ticket.upstream)

        may_repeat = admitted.route.repeat is not Repeat.NEVER
        return SilenceWatch(
            ticket,
            admitted.request.id,
            self._clock,
            self._registry,
            take_over if may_repeat else None,
        )

    def _take_over(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        silent: Upstream,
    ) -> OpenAnswer:
        """Return the answer of another upstream than the silent one.

        :raises NoTakeoverError: if no other upstream answers
        """
        obstacle = self._retry_obstacle(admitted, attempts, relay, silent_runs=1)
        if obstacle is not None:
            raise NoTakeoverError(obstacle)
        ticket = None
        try:
            ticket = self._find_ticket(
                admitted, attempts, relay, attempts.excluded | {silent.id}
            )
        except NoUpstreamError as exc:
            raise NoTakeoverError(str(exc), exc.retry_after_s) from exc
        finally:
            if ticket is None:
                self._return_retry(admitted, attempts)
        outcome = 'cancelled'
        arrivals = attempts.arrivals
        try:
            answer = self._open(admitted, attempts, relay, ticket, ticket.is_overdue)
            outcome = ''
            return _wait_for_event(answer) if admitted.route.streamed else answer
        except RefusalError as exc:
            raise NoTakeoverError(str(exc)) from exc
        except SendError as exc:
            outcome = _outcome(exc, attempts)
            self._record_failure(admitted, attempts, ticket, exc)
            raise NoTakeoverError(exc.message) from exc
        except BaseException:
            outcome = 'cancelled'
            attempts.runs += attempts.arrivals - arrivals
            raise
        finally:
            self._return_retry(admitted, attempts)
            if outcome:
                ticket.end(outcome)

    def _apply_notices(self, upstream: Upstream, head: AnswerHead) -> None:
        """Apply what the head of an answer says about further requests."""
        if head.leaving and self._registry.is_usable(upstream):
            self._mark_left(upstream)
        if head.retry_after_s is not None:
            self._quiet.start(upstream, head.retry_after_s)
            log_event(
                'upstream_quiet',
                upstream=upstream.id,
                born=upstream.born,
                seconds=head.retry_after_s,
            )

    def _mark_left(self, upstream: Upstream) -> None:
        self._placer.report_left(upstream)
        self._feed.mark_left(upstream, 'left')

    def _check_head(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        upstream: Upstream,
        conn: UpstreamConnection,
        head: AnswerHead,
    ) -> None:
        """Check that an answer is one that can be relayed.

        :raises SendError: if it is not
        """
        if head.declined:
            raise DeclinedError(f'{upstream.id} declined: {head.status}', head)
        if head.encoded or (head.status < 300 and not head.signed):
            raise ForeignBytesError(f'{upstream.id}: not its own answer')
        if not head.signed and head.status in (408, 421, 429, 503):
            raise ForeignBytesError(f'{upstream.id}: an unsigned promise')
        if (
            head.status >= FIRST_SERVER_ERROR_STATUS
            and admitted.route.repeat is not Repeat.NEVER
        ):
            attempts.error_answer = (head, read_body(conn.chunks(), relay.reserve))
            raise BrokenError(f'{upstream.id} answered {head.status}')
        if not relay.may_go_on_with(head):
            media_type = _to_text(head.media_type)
            raise BrokenError(
                f'{upstream.id} does not go on: {head.status} {media_type}'
            )

    def _relay_answer(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        reply: Reply,
        answer: OpenAnswer,
    ) -> None:
        ticket, conn, head, chunks = answer
        try:
            if admitted.route.streamed and head.status < 300:
                relay.relay_stream(head, chunks, ticket)
            else:
                self._counter.answered(admitted, attempts)
                bodyless = admitted.request.method == b'HEAD'
                relay_answer(head, chunks, reply, bodyless=bodyless)
        except BaseException:
            conn.close()
            raise
        self._answer_log.record_answer(admitted, attempts, relay, reply, answer)
        self._pool.release(ticket.upstream, conn)

    # Retries.

    def _record_arrival(
        self, admitted: AdmittedRequest, attempts: AttemptHistory
    ) -> None:
        budget = self._budget(admitted.service.name)
        now = self._clock.monotonic()
        self._return_retry(admitted, attempts)
        if attempts.arrivals:
            budget.record_retry(now)
        else:
            budget.record_request(now)
        attempts.arrivals += 1
        attempts.sent_at = now

    def _return_retry(
        self, admitted: AdmittedRequest, attempts: AttemptHistory
    ) -> None:
        """Return a retry to the budget that was reserved and not sent."""
        reserved_at, attempts.reserved_at = attempts.reserved_at, None
        if reserved_at is not None:
            self._budget(admitted.service.name).withdraw_retry(reserved_at)

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = FleetRetryBudget(self._budget_limits)
        return budget

    def _record_failure(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        ticket: Ticket,
        exc: SendError,
    ) -> None:
        attempts.failure = exc
        attempts.path_failures += self._pool.is_cut_off(ticket.upstream)
        if not 1 <= attempts.path_failures <= MAX_PATH_FAILURES:
            attempts.excluded |= {ticket.upstream.id}
        if isinstance(exc, BrokenError):
            attempts.runs += 1
            self._counter.broken_off(admitted, attempts)
        if isinstance(exc, DeclinedError) and exc.head.status == 421:
            self._mark_left(ticket.upstream)
        self._metrics.count('upstream_failures', kind=type(exc).__name__)
        log_event(
            'attempt_failed',
            id=admitted.request.id,
            upstream=ticket.upstream.id,
            attempt=attempts.arrivals,
            kind=type(exc).__name__,
            reason=exc.message,
        )

    def _has_crashed(self, admitted: AdmittedRequest, upstream: Upstream) -> bool:
        """Return whether an upstream crashed, after it broke off a request.

        A process that only failed the request still accepts connections.
        """
        if not self._pool.refuses_connections(upstream):
            return False
        prompt = admitted.request.prompt
        log_event(
            'upstream_crashed',
            id=admitted.request.id,
            upstream=upstream.id,
            born=upstream.born,
            fingerprint=f'{fingerprint(admitted.request):016x}',
            prompt_parts=[part.digest for part in prompt.parts] if prompt else [],
        )
        return True

    def _retry_obstacle(
        self,
        admitted: AdmittedRequest,
        attempts: AttemptHistory,
        relay: StreamRelay,
        silent_runs: int = 0,
    ) -> str | None:
        """Return why a request may not be sent again, or ``None`` if it may.

        A retry is then reserved, as others may be allowed before it is sent.

        :param silent_runs: runs at silent upstreams, which have not failed yet
        """
        now = self._clock.monotonic()
        runs = attempts.runs + silent_runs
        repeat = admitted.route.repeat
        if admitted.expires_at - now < MIN_ATTEMPT_S:
            return 'too little time left'
        if runs and repeat is Repeat.NEVER:
            return 'it may have run'
        if runs >= max(1, admitted.route.max_runs):
            return 'it may not run once more'
        resumes = admitted.route.streamed and repeat is Repeat.RESUME
        if relay.started and not resumes:
            return 'its answer has begun'
        budget = self._budget(admitted.service.name)
        if attempts.arrivals and attempts.reserved_at is None:
            if not budget.allows_retry(now, self._count_hosts()):
                return 'the retry budget is used up'
            budget.record_retry(now)
            attempts.reserved_at = now
        return None

    def _report_failure(
        self, admitted: AdmittedRequest, attempts: AttemptHistory, reply: Reply
    ) -> None:
        if reply.started:
            log_event(
                'answer_broken_off',
                id=admitted.request.id,
                runs=attempts.runs,
                kind=type(attempts.failure).__name__,
                version=admitted.version,
                current_version=self._feed.table.version if self._feed.table else None,
            )
            reply.abort()
        if attempts.error_answer is not None:
            head, body = attempts.error_answer
            relay_answer(head, iter((body,)), reply, bodyless=False)
            log_event('failure_passed_on', id=admitted.request.id, status=head.status)
            return
        raise self._final_refusal(attempts, timed_out=False)

    def _final_refusal(
        self, attempts: AttemptHistory, *, timed_out: bool
    ) -> RefusalError:
        reason = attempts.failure.message if attempts.failure else 'no answer in time'
        if timed_out and attempts.arrivals:
            return RefusalError(504, ResultCode.DEADLINE_EXCEEDED, reason)
        if attempts.runs:
            return RefusalError(502, ResultCode.UPSTREAM_FAILED, reason)
        wait_s = attempts.retry_after_s or NO_UPSTREAM_RETRY_AFTER_S
        return RefusalError(503, ResultCode.NO_UPSTREAM, reason, wait_s)

    # Refusals and log events.

    def _refuse(
        self, request: CallerRequest | None, exc: RefusalError, reply: Reply
    ) -> None:
        self._metrics.count('requests_refused', status=str(exc.status))
        log_event(
            'request_refused',
            id=request.id if request else None,
            status=exc.status,
            code=exc.code.name,
            reason=str(exc),
            retry_after_s=exc.retry_after_s,
            version=self._feed.table.version if self._feed.table else None,
            table_age_s=round(self._feed.staleness_s(), 3),
        )
        reply.refuse(
            exc.status,
            exc.code,
            str(exc),
            retry_after_s=exc.retry_after_s,
            close=exc.close,
        )


def _outcome(exc: SendError, attempts: AttemptHistory) -> str:
    """Return the outcome of an attempt that failed, as passed to its ticket."""
    if isinstance(exc, NotSentError):
        return 'unreachable'
    if isinstance(exc, DeclinedError):
        is_rejected = exc.head.status == HTTPStatus.SERVICE_UNAVAILABLE
        return 'rejected' if is_rejected and not exc.head.leaving else 'declined'
    if isinstance(exc, SilentError):
        return 'silent'
    return 'failed_again' if attempts.runs else 'failed'


def _fitting_successor(watch: SilenceWatch, relay: StreamRelay) -> OpenAnswer | None:
    """Return the answer of an upstream that takes over, if it may go on.

    The stream may have begun after the other upstream had been asked.
    """
    successor = watch.take_successor()
    if successor is None:
        return None
    has_version = relay.version in (None, successor.ticket.upstream.version)
    if has_version and relay.may_go_on_with(successor.head):
        return successor
    successor.close()
    return None


def _to_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _set_abort_check(
    conn: UpstreamConnection, route: Route, should_abort: Callable[[], bool]
) -> None:
    # Events show whether a stream moves on; bytes show it of others.
    conn.set_abort_check(should_abort, while_receiving=route.streamed)


def _wait_for_event(answer: OpenAnswer) -> OpenAnswer:
    """Return an answer once its first event has arrived, or its end."""
    splitter = EventSplitter()
    parts: list[bytes] = []
    try:
        for chunk in answer.chunks:
            parts.append(chunk)
            if splitter.feed(chunk):
                break
    except EventTooLongError as exc:
        answer.conn.close()
        raise ForeignBytesError(str(exc)) from exc
    except BaseException:
        answer.conn.close()
        raise
    return answer._replace(chunks=itertools.chain(parts, answer.chunks))
