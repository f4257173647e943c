"""Granted calls: an upstream, a connection to it, and their orderly end."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.errors import RequestError, ResultCode, UpstreamError
from rosemaryseam.common.wsgi import CallerGoneError, watch_caller
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

ALL_FAILED_RETRY_DELAY_S = (
    0.2  # before a pool whose upstreams all failed is tried again
)
RESUME_HEADER = 'X-Resume-Events'

DONE = 'done'
FAILED = 'failed'
PREEMPTED = 'preempted'
CALLER_GONE = 'caller_gone'
UNUSED = 'unused'


class PreparedRequest(NamedTuple):
    """A caller's request, ready to be sent."""

    request_id: str
    admission: Admission
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    prefix: str
    arrived: float


class GrantedCall(RunningCall):
    """One call under one grant.

    :param upstream: the catalogue's entry
    :param grant: allows the call
    """

    def __init__(self, upstream: Upstream, grant: HeldGrant, clock: Clock) -> None:
        self.upstream = upstream
        self.grant = grant
        self.exchange: UpstreamExchange | None = None
        self.preempted = False
        self.events = 0
        self.outcome = FAILED
        self._clock = clock
        self._first_token_s = -1.0

    @property
    def event_count(self) -> int:
        """Events that went to the caller."""
        return self.events

    def record_event(self) -> None:
        """Count one event that went to the caller."""
        if not self.events:
            self._first_token_s = self._clock.monotonic() - self.grant.since
        self.events += 1

    def preempt(self) -> None:
        """End the call because a higher tier needs the slot."""
        self.preempted = True
        if self.exchange is not None:
            self.exchange.cancel()

    def final_outcome(self) -> Outcome:
        """Return how the call ended."""
        name = PREEMPTED if self.preempted else self.outcome
        return Outcome(name, self._first_token_s, self.events)


class CallRunner:
    """Opens granted calls for the gateway's resources."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        grants: GrantTask,
        replica: ReplicaTask,
        client: UpstreamClient,
        budget: RetryBudget,
        observe: Callable[[ObservedUpstreams], None],
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.budget = budget
        self._timing = timing
        self._grants = grants
        self._replica = replica
        self._client = client
        self._observe = observe

    @contextlib.contextmanager
    def granted_call(
        self,
        request: PreparedRequest,
        excluded: frozenset[str],
        *,
        resumed: bool = False,
        caller: socket.socket | None = None,
    ) -> Iterator[GrantedCall]:
        """Hold a grant for a request and give it back at the end.

        :param request: the request
        :param excluded: upstreams that failed and are avoided, unless all have
        :param resumed: whether a part of the answer has come already
        :param caller: the caller's connection, watched while the request waits
        :raises RequestError: no upstream could be had
        """
        admission = request.admission
        ticket = Ticket(
            admission.pool.name,
            admission.request_class.name,
            admission.workspace.name,
            request.prefix,
            request.arrived,
            admission.request_class.max_wait_ms / 1000,
            self._avoided_upstreams(admission.pool.name, excluded),
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
                call.outcome = CALLER_GONE
            raise
        finally:
            outcome = call.final_outcome() if call is not None else Outcome(UNUSED)
            self._count_call(request, outcome)
            if call is None or call.exchange is None:
                self._grants.release(grant, outcome)
            else:
                gevent.spawn(self._close_and_release, call, outcome)

    def _avoided_upstreams(self, pool: str, excluded: frozenset[str]) -> frozenset[str]:
        """Return the upstreams to avoid: none when every one of the pool failed."""
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
        """Give the grant back once the upstream is done with the call."""
        if not call.exchange.close(self._timing.upstream_cancel_s):
            self.metrics.count('cancels_unconfirmed')
        self._grants.release(call.grant, outcome)

    def send(
        self, request: PreparedRequest, call: GrantedCall, delivered: int = 0
    ) -> None:
        """Send the request on a granted call.

        :param request: the request
        :param call: what :meth:`granted_call` yielded
        :param delivered: stream events that the caller already has
        :raises UpstreamError: tells whether a byte was written
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
                self._observe(ObservedUpstreams({call.upstream.name: True}))
            raise

    def check_run_time(self, request: PreparedRequest, call: GrantedCall) -> None:
        """End a call that runs longer than its class allows.

        :param request: the request
        :param call: the call in flight
        :raises UpstreamError: the time is over
        """
        max_run_s = request.admission.request_class.max_run_ms / 1000
        if self.clock.monotonic() - call.grant.since > max_run_s:
            message = f'{call.upstream.name}: more than {max_run_s} s'
            raise UpstreamError(message, written=True)

    def _first_byte_timeout_s(self, request: PreparedRequest) -> float:
        """Return how long an upstream may think before the first byte."""
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
        if outcome.events and outcome.name != DONE:
            self.metrics.count('events_of_broken_calls', outcome.events)
