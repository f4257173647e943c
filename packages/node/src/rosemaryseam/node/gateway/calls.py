"""Calls to upstreams under a grant, from the grant's acquisition to its release."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.callerwatch import CallerGoneError, watch_caller
from rosemaryseam.common.errors import RequestError, ResultCode, UpstreamError
from rosemaryseam.node.gateway.admission import CLASS_HEADER
from rosemaryseam.node.member import ObservedUpstreams
from rosemaryseam.node.tickets import Outcome, RunningCall, Ticket
from rosemaryseam.node.upstreams import UpstreamCall

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterator, Mapping

    from rosemaryseam.common.catalogue import Upstream
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.gateway.admission import Admission
    from rosemaryseam.node.grants import GrantTask
    from rosemaryseam.node.replica import ReplicaTask
    from rosemaryseam.node.settings import Timing
    from rosemaryseam.node.tickets import HeldGrant
    from rosemaryseam.node.upstreams import UpstreamClient, UpstreamExchange
    from rosemaryseam.policy.retry import RetryBudget

# Delay before the next attempt when all upstreams of the pool have failed.
ALL_FAILED_RETRY_DELAY_S = 0.2
RESUME_HEADER = 'X-Resume-Events'

# Outcomes of calls, as releases report them and the metric ``calls`` counts them.
COMPLETED_OUTCOME = 'done'
FAILED_OUTCOME = 'failed'
PREEMPTED_OUTCOME = 'preempted'
CALLER_GONE_OUTCOME = 'caller_gone'
UNUSED_OUTCOME = 'unused'


class PreparedRequest(NamedTuple):
    """A caller's request in the form in which it is sent to upstreams.

    ``path`` includes the query. ``prefix`` is the digest of the start of the prompt,
    by which requests are routed to an engine that has it cached. ``arrived`` is a time
    of the monotonic clock in seconds. ``reserve`` reserves memory for a part of the
    answer, in bytes, and returns whether there is room.
    """

    request_id: str
    admission: Admission
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes | memoryview
    prefix: str
    arrived: float
    reserve: Callable[[int], bool]


class GrantedCall(RunningCall):
    """A call to an upstream under a grant.

    :param upstream: catalogue entry of the upstream
    :param grant: the grant under which the call runs
    :param clock: clock of the process
    """

    def __init__(self, upstream: Upstream, grant: HeldGrant, clock: Clock) -> None:
        self.upstream = upstream
        self.grant = grant
        self.exchange: UpstreamExchange | None = None
        self.preempted = False
        self._event_count = 0
        self.outcome = FAILED_OUTCOME
        self._clock = clock
        self._first_token_s = -1.0

    @property
    def event_count(self) -> int:
        """The number of events delivered to the caller."""
        return self._event_count

    def record_event(self) -> None:
        """Count an event delivered to the caller."""
        if not self._event_count:
            self._first_token_s = self._clock.monotonic() - self.grant.since
        self._event_count += 1

    def preempt(self) -> None:
        """Cancel the call because a request of a higher tier needs the slot."""
        self.preempted = True
        if self.exchange is not None:
            self.exchange.cancel()

    def final_outcome(self) -> Outcome:
        """Return the outcome to report for the call."""
        name = PREEMPTED_OUTCOME if self.preempted else self.outcome
        return Outcome(name, self._first_token_s, self._event_count)


class CallRunner:
    """Acquires grants and sends requests to the granted upstreams.

    :param clock: clock of the process
    :param metrics: counters of the process
    :param timing: timeouts of calls to upstreams
    :param grants: acquires and releases grants
    :param replica: holds the catalogue in force
    :param client: opens connections to upstreams
    :param budget: limits the retries
    :param report_upstreams: called when an upstream refuses a request because it
        is leaving
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        grants: GrantTask,
        replica: ReplicaTask,
        client: UpstreamClient,
        budget: RetryBudget,
        report_upstreams: Callable[[ObservedUpstreams], None],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.budget = budget
        self._timing = timing
        self._grants = grants
        self._replica = replica
        self._client = client
        self._report_upstreams = report_upstreams

    @contextlib.contextmanager
    def granted_call(
        self,
        request: PreparedRequest,
        excluded: frozenset[str],
        *,
        resumed: bool = False,
        caller: socket.socket | None = None,
    ) -> Iterator[GrantedCall]:
        """Acquire a grant for a request and release it at the end.

        :param request: the request
        :param excluded: names of the upstreams that failed; ignored if these are all
            upstreams of the pool
        :param resumed: whether a part of the answer was already delivered
        :param caller: socket of the caller; the request is dropped if the caller
            disconnects while waiting for the grant
        :raises RequestError: if no grant could be acquired
        """
        admission = request.admission
        ticket = Ticket(
            admission.pool.name,
            admission.request_class.name,
            admission.workspace.name,
            request.prefix,
            request.arrived,
            admission.request_class.max_wait_ms / 1000,
            self._excluded_upstreams(admission.pool.name, excluded),
            resumed,
        )
        with watch_caller(caller):
            grant = self._grants.acquire(ticket)
        call = None
        try:
            call = GrantedCall(self._find_upstream(grant.upstream), grant, self.clock)
            self._grants.attach(grant, call)
            yield call
        except (CallerGoneError, GeneratorExit):
            if call is not None:
                call.outcome = CALLER_GONE_OUTCOME
            raise
        finally:
            outcome = (
                call.final_outcome() if call is not None else Outcome(UNUSED_OUTCOME)
            )
            self._count_call(request, outcome)
            if call is None or call.exchange is None:
                self._grants.release(grant, outcome)
            else:
                gevent.spawn(self._close_and_release, call, outcome)

    def _excluded_upstreams(
        self, pool: str, excluded: frozenset[str]
    ) -> frozenset[str]:
        """Return the upstreams to exclude.

        If all upstreams of the pool have failed, this waits and excludes none, so that
        each can be tried again.
        """
        names = {
            entry.name
            for entry in self._replica.catalogue.upstreams
            if entry.pool == pool
        }
        if names - excluded:
            return excluded
        gevent.sleep(ALL_FAILED_RETRY_DELAY_S)
        return frozenset()

    def _close_and_release(self, call: GrantedCall, outcome: Outcome) -> None:
        """Release the grant once the upstream has finished or abandoned the call."""
        if not call.exchange.close(self._timing.upstream_cancel_s):
            self.metrics.count('cancels_unconfirmed')
        self._grants.release(call.grant, outcome)

    def send(
        self, request: PreparedRequest, call: GrantedCall, delivered: int = 0
    ) -> None:
        """Send a request to the upstream of a granted call and read the answer's head.

        :param request: the request
        :param call: the call yielded by :meth:`granted_call`
        :param delivered: number of events already delivered to the caller, after
            which the upstream resumes the stream
        :raises UpstreamError: if the call failed; ``written`` tells whether the
            upstream may have received a part of the request
        """
        headers = dict(request.headers)
        headers[CLASS_HEADER] = request.admission.request_class.name
        if delivered:
            headers[RESUME_HEADER] = str(delivered)
        upstream_call = UpstreamCall(
            request.method,
            request.path,
            headers,
            request.body,
            self._timing.upstream_connect_s,
            self._first_byte_timeout_s(request),
            self._timing.upstream_between_bytes_s,
        )
        try:
            address = parse_address(call.upstream.address)
            call.exchange = self._client.connect(address, upstream_call)
            call.exchange.send()
        except UpstreamError as exc:
            if exc.leaving:
                self._report_upstreams(ObservedUpstreams({call.upstream.name: True}))
            raise

    def check_run_time(self, request: PreparedRequest, call: GrantedCall) -> None:
        """Check that a call has not run longer than its class allows.

        :param request: the request
        :param call: the call in flight
        :raises UpstreamError: if the call has exceeded the limit
        """
        max_run_s = request.admission.request_class.max_run_ms / 1000
        if self.clock.monotonic() - call.grant.since > max_run_s:
            message = f'{call.upstream.name}: more than {max_run_s} s'
            raise UpstreamError(message, written=True)

    def _first_byte_timeout_s(self, request: PreparedRequest) -> float:
        """Return how long to wait for the first byte of the answer, in seconds.

        An upstream may send nothing until its answer is complete. The timeout of a
        class with a target for the complete answer is therefore raised to that target,
        up to the maximum run time of the class.
        """
        target = request.admission.request_class.target
        if target.answer_ms is None:
            return self._timing.upstream_first_byte_s
        max_run_s = request.admission.request_class.max_run_ms / 1000
        return min(max_run_s, max(self._timing.upstream_first_byte_s, target.latency_s))

    def _find_upstream(self, name: str) -> Upstream:
        for upstream in self._replica.catalogue.upstreams:
            if upstream.name == name:
                return upstream
        message = f'upstream {name!r} left the catalogue'
        raise RequestError(message, ResultCode.NO_UPSTREAM, 1.0)

    def _count_call(self, request: PreparedRequest, outcome: Outcome) -> None:
        name = request.admission.request_class.name
        self.metrics.count('calls', request_class=name, outcome=outcome.name)
        if outcome.events and outcome.name != COMPLETED_OUTCOME:
            self.metrics.count('events_of_broken_calls', outcome.events)
