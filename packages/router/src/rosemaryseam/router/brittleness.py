"""Statements of upstreams that they crash when they reject too many requests."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.decoding import readable, require_list
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.policy.queueroom import REJECTED, QueueRoom
from rosemaryseam.router.brittlereports import BrittleReport, read_report
from rosemaryseam.router.placement import NoUpstreamError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.errors import UnreadableError
    from rosemaryseam.policy.engines import RequestKey
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.peers import PeerLink
    from rosemaryseam.router.queries import Placement, Query
    from rosemaryseam.router.upstreams import Upstream

KIND = 'brittle'  # of messages between hosts
REPEAT_S = 1.0  # after which the same statement is reported again
SERVICE_MEMORY_S = 10.0  # an upstream that crashed is back within this time
MIN_WAIT_S = 0.4  # of callers that are refused
MAX_WAIT_S = 3.0  # before jitter
WAIT_JITTER = 1.5  # longest over shortest wait
MIN_COMPLETIONS_PER_S = 1.0  # while nothing has completed yet
MAX_LOGGED_UPSTREAMS = 8
MAX_REPORTS = 50  # per message, which fits in a datagram
NO_ROOM_REASON = 'no upstream has room in its queue'

Incarnation = tuple[str, int]  # id and start of an upstream


class _Statement(NamedTuple):
    """The latest statement of an upstream; ``limit`` is ``None`` if it ended."""

    limit: float | None
    heard_at: float


class Brittleness:
    """Keeps what upstreams state, and limits the requests in flight at brittle ones.

    The dispatcher of an upstream counts for all hosts; it hears of statements from the
    hosts that get them. A host that dispatches in its place uses a share.

    :param clock: clock of the process
    :param rng: source of jitter
    :param find_upstream: returns the incarnation in use by id, or ``None``
    :param in_flight: returns the number of requests in flight at an upstream
    :param is_used: returns whether this host placed requests on an upstream lately
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        find_upstream: Callable[[str], Upstream | None],
        in_flight: Callable[[Upstream], int],
        is_used: Callable[[Upstream], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._find_upstream = find_upstream
        self._in_flight = in_flight
        self._is_used = is_used
        self._host = ''
        self._link: HostLink | None = None
        self._metrics = Metrics()
        self._statements: dict[Incarnation, _Statement] = {}
        self._rooms: dict[Incarnation, QueueRoom] = {}
        self._reported: dict[Incarnation, tuple[str, float]] = {}
        self._services: dict[str, _Statement] = {}
        self._known: set[Incarnation] = set()
        self._return_at: dict[str, float] = {}

    def connect(self, host: str, link: PeerLink, metrics: Metrics) -> None:
        """Exchange statements with the other hosts.

        :param host: address of this host
        :param link: link to the other hosts
        :param metrics: counters of the process
        """
        self._host = host
        self._link = link
        self._metrics = metrics
        link.subscribe(KIND, self._handle_message)
        metrics.gauge('brittle_upstreams', lambda: float(len(self._rooms)))

    def get(self, upstream: Incarnation) -> float | None:
        """Return the rejections per second that an upstream stands, or ``None``.

        :param upstream: incarnation of the upstream
        """
        statement = self._statements.get(upstream)
        return None if statement is None else statement.limit

    # Placement.

    def open_upstreams(
        self, upstreams: Sequence[Upstream], share: Callable[[], float]
    ) -> list[Upstream]:
        """Return the upstreams that have room for a request now.

        :param upstreams: upstreams to check
        :param share: returns the share of the room that this host may use
        """
        if not self._rooms:
            return list(upstreams)
        now = self._clock.monotonic()
        used_share = share()
        return [one for one in upstreams if self._is_open(one, used_share, now)]

    def _is_open(self, upstream: Upstream, share: float, now: float) -> bool:
        room = self._rooms.get(upstream.incarnation)
        if room is None:
            return True
        in_flight = self._in_flight(upstream)
        if share >= 1.0:
            return room.is_open(in_flight, now)
        return room.is_open_to_share(in_flight, share, now, self._rng)

    def refusal(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> NoUpstreamError:
        """Log and return the refusal of a request for which no upstream has room.

        Callers are told to return one after another at the rate of completions.

        :param host: address of the host that sent the query
        :param query: request to place
        :param upstreams: upstreams without room
        """
        now = self._clock.monotonic()
        rooms = {
            one.id: self._rooms[one.incarnation]
            for one in upstreams
            if one.incarnation in self._rooms
        }
        rate = sum(room.completions_per_s(now) for room in rooms.values())
        rate = max(MIN_COMPLETIONS_PER_S, rate)
        return_at = max(now, self._return_at.get(query.service, now)) + 1.0 / rate
        return_at = min(return_at, now + MAX_WAIT_S)
        self._return_at[query.service] = return_at
        self._metrics.count('requests_over_queue_room', service=query.service)
        log_event(
            'request_over_queue_room',
            id=query.request_id,
            asked_by=host,
            route=query.route,
            upstreams=len(rooms),
            rooms={
                one.id: [self._in_flight(one), self._room(one.incarnation)]
                for one in itertools.islice(upstreams, MAX_LOGGED_UPSTREAMS)
                if one.id in rooms
            },
            completions_per_s=round(rate, 1),
        )
        wait_s = max(MIN_WAIT_S, return_at - now) * self._rng.uniform(1.0, WAIT_JITTER)
        return NoUpstreamError(NO_ROOM_REASON, wait_s)

    def describe_placement(self, upstream: Upstream, placement: Placement) -> Placement:
        """Return a placement with what its upstream stated, for the host that sends.

        :param upstream: upstream of the placement
        :param placement: placement by this host
        """
        statement = self._statements.get(upstream.incarnation)
        if statement is None or statement.limit is None:
            return placement
        age_s = round(self._clock.monotonic() - statement.heard_at, 3)
        inputs = {**placement.inputs, 'brittle': [statement.limit, age_s]}
        return placement._replace(inputs=inputs)

    def adopt_placement(
        self, upstream: Upstream, placement: Placement, dispatcher: str
    ) -> None:
        """Record what a dispatcher says of the upstream of a placement.

        :param upstream: upstream of the placement
        :param placement: placement by the dispatcher
        :param dispatcher: address of the dispatcher
        """
        stated = placement.inputs.get('brittle')
        if stated is not None and dispatcher != self._host:
            self.adopt(read_report([*upstream.incarnation, *stated]), dispatcher)

    # Progress of requests that this host dispatches.

    def record_placement(self, upstream: Upstream, key: RequestKey) -> None:
        """Record a request that was placed, and that is in flight by now.

        :param upstream: upstream that gets the request
        :param key: key of the request
        """
        room = self._rooms.get(upstream.incarnation)
        if room is not None:
            now = self._clock.monotonic()
            room.record_placement(key, self._in_flight(upstream), now)

    def record_first_event(self, upstream: Upstream, key: RequestKey) -> None:
        """Record that the answer to a request has started.

        :param upstream: upstream of the request
        :param key: key of the request
        """
        room = self._rooms.get(upstream.incarnation)
        if room is not None:
            room.record_accepted(key, self._clock.monotonic())

    def record_end(self, upstream: Upstream, key: RequestKey, outcome: str) -> None:
        """Record the outcome of a request that is still counted as in flight.

        :param upstream: upstream of the request
        :param key: key of the request
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        """
        room = self._rooms.get(upstream.incarnation)
        if room is None:
            return
        in_flight = self._in_flight(upstream)
        lowered = room.record_end(key, outcome, in_flight, self._clock.monotonic())
        if outcome == REJECTED:
            self._metrics.count('brittle_rejections', service=upstream.service)
        if lowered is not None:
            log_event(
                'queue_room_lowered',
                upstream=upstream.id,
                born=upstream.born,
                room=round(lowered, 1),
                in_flight=in_flight,
                outcome=outcome,
            )

    # Statements of upstreams.

    def record_answer(
        self, upstream: Upstream, limit: float | None, asked_at: float, dispatcher: str
    ) -> None:
        """Record what an answer to this host says, and tell the dispatcher.

        An answer without a statement ends it only if the request was placed after the
        statement had been heard, as answers can overtake one another.

        :param upstream: upstream that answered
        :param limit: rejections per second, or ``None`` if the answer states none
        :param asked_at: monotonic time in seconds at which the request was placed
        :param dispatcher: address of the upstream's dispatcher, empty if not known
        """
        key = upstream.incarnation
        known = self._statements.get(key)
        if limit is None and (
            known is None or known.limit is None or asked_at < known.heard_at
        ):
            return
        now = self._clock.monotonic()
        changed = known is None or known.limit != limit
        self._store(upstream, _Statement(limit, now), None)
        told, told_at = self._reported.get(key, ('', -math.inf))
        if changed or told != dispatcher or now - told_at >= REPEAT_S:
            self._reported[key] = (dispatcher, now)
            self._send(dispatcher, [BrittleReport(*key, limit, 0.0)])

    def adopt(self, report: BrittleReport, source: str) -> None:
        """Record what another host heard, unless something newer is known.

        :param report: report of that host
        :param source: address of that host
        """
        upstream = self._find_upstream(report.upstream)
        if upstream is None or upstream.born != report.born:
            return
        now = self._clock.monotonic()
        statement = _Statement(report.limit, now - report.age_s)
        known = self._statements.get(upstream.incarnation)
        if known is None or statement.heard_at > known.heard_at:
            self._store(upstream, statement, source)
        room = self._rooms.get(upstream.incarnation)
        if room is not None and report.room is not None:
            room.adopt_room(report.room, now)

    def hand_over(self, names: Collection[str], dispatcher: str) -> None:
        """Tell a new dispatcher what is known of its upstreams.

        :param names: ids of the upstreams
        :param dispatcher: address of the dispatcher
        """
        now = self._clock.monotonic()
        reports = [
            BrittleReport(*key, one.limit, now - one.heard_at, self._room(key))
            for key, one in self._statements.items()
            if key[0] in names and one.limit is not None
        ]
        self._send(dispatcher, reports)

    def retain(self, upstreams: Collection[Upstream]) -> None:
        """Forget all other incarnations.

        An incarnation that is new in a service whose upstreams are brittle may have
        started after a crash, so that it is taken to be brittle.

        :param upstreams: incarnations in use
        """
        kept = {upstream.incarnation for upstream in upstreams}
        for known in (self._statements, self._rooms, self._reported):
            for key in [key for key in known if key not in kept]:
                del known[key]
        now = self._clock.monotonic()
        for service in [
            service
            for service, one in self._services.items()
            if now - one.heard_at > SERVICE_MEMORY_S
        ]:
            del self._services[service]
            self._return_at.pop(service, None)
        for upstream in upstreams if self._services else ():
            stated = self._services.get(upstream.service)
            if stated is not None and upstream.incarnation not in self._known:
                statement = _Statement(stated.limit, now)
                self._store(upstream, statement, 'service', restarted=True)
        self._known = kept

    def dump(self, upstream: Upstream) -> dict[str, float | None] | None:
        """Return the state of an upstream as JSON types, ``None`` if not brittle.

        :param upstream: upstream to look up
        """
        key = upstream.incarnation
        if key not in self._rooms:
            return None
        return {'rejections_per_s': self.get(key), 'room': self._room(key)}

    def _room(self, key: Incarnation) -> float | None:
        """Return the learned room of an upstream, ``None`` if it is not known."""
        room = self._rooms[key].room(self._clock.monotonic())
        return round(room, 1) if math.isfinite(room) else None

    def _store(
        self,
        upstream: Upstream,
        statement: _Statement,
        source: str | None,
        *,
        restarted: bool = False,
    ) -> None:
        key = upstream.incarnation
        previous = self.get(key)
        self._statements[key] = statement
        if statement.limit is None:
            self._rooms.pop(key, None)
            self._services.pop(upstream.service, None)
        else:
            self._services[upstream.service] = statement
            self._update_room(upstream, statement.limit, restarted=restarted)
        if statement.limit != previous:
            log_event(
                'upstream_brittle',
                upstream=upstream.id,
                born=upstream.born,
                rejections_per_s=statement.limit,
                previous=previous,
                source=source,
            )

    def _update_room(
        self, upstream: Upstream, limit: float, *, restarted: bool
    ) -> None:
        room = self._rooms.get(upstream.incarnation)
        if room is not None:
            room.limit = limit
            return
        self._rooms[upstream.incarnation] = QueueRoom(
            upstream.slots,
            limit,
            self._clock.monotonic(),
            used=self._is_used(upstream),
            restarted=restarted,
        )

    # Messages.

    def _send(self, dispatcher: str, reports: Sequence[BrittleReport]) -> None:
        if not dispatcher or dispatcher == self._host or self._link is None:
            return
        for start in range(0, len(reports), MAX_REPORTS):
            body = [list(report) for report in reports[start : start + MAX_REPORTS]]
            self._link.send_message(dispatcher, KIND, body)

    def _handle_message(self, host: str, body: Any) -> list[UnreadableError]:
        errors: list[UnreadableError] = []
        for report in readable(require_list(body), read_report, errors.append):
            self.adopt(report, host)
        return errors


def is_room_refusal(exc: NoUpstreamError) -> bool:
    """Return whether a refusal, also by another host, is for lack of queue room.

    :param exc: refusal
    """
    return str(exc) == NO_ROOM_REASON
