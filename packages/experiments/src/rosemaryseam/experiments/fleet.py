"""Simulates a fleet: hosts place the requests of a scenario on simulated engines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.engine import EngineParameters, Job, SimulatedEngine
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.router.placement import NoUpstreamError, UnplacedRequest
from rosemaryseam.router.requests import CallerRequest, Prompt, PromptPart
from rosemaryseam.router.routes import (
    EngineProfile,
    Repeat,
    Route,
    Service,
    ServiceShare,
)
from rosemaryseam.router.upstreams import Registration, Registry, Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.experiments.load import Arrival, Noise, RequestKind, Scenario
    from rosemaryseam.router.placement import Placer

    PlacerFactory = Callable[
        [SimulatedClock, Registry, Service, random.Random, int], list[Placer]
    ]

DISPATCH_ROUND_TRIP_S = 0.002  # to a dispatcher and back
NETWORK_DELAY_S = 0.001  # one way
ZONE = 'a'
FIRST_PORT = 1000
MAX_RETRY_DELAY_SHARE = 1.0 / 3.0  # of the caller's remaining patience


class Outcome(NamedTuple):
    """The end of a request.

    ``result`` is ``in target``, ``late``, ``refused`` or ``failed``.
    """

    arrival: Arrival
    result: str
    first_event_s: float | None
    longest_pause_s: float
    refusals: int


class Fleet:
    """Runs a scenario on simulated engines and collects the outcomes of its requests.

    :param scenario: engines, hosts, load and faults
    :param make_placers: function that makes the placers of the hosts
    :param seed: seed of the random choices of callers and hosts
    """

    def __init__(
        self, scenario: Scenario, make_placers: PlacerFactory, seed: int
    ) -> None:
        self.clock = SimulatedClock()
        self._rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        profile = EngineProfile(
            scenario.slots, scenario.memory_tokens, scenario.tokens_per_event, True
        )
        self._service = Service('engines', '/health', 0, profile)
        self._routes = {kind.name: _route(kind) for kind in scenario.kinds}
        self.engines = self._make_engines(scenario)
        self._upstreams = {
            name: Upstream(
                name, 1, 'engines', Address('10.0.0.1', 1000 + number), ZONE, 64
            )
            for number, name in enumerate(self.engines)
        }
        self._down_engines: set[str] = set()
        self._by_address = {
            upstream.address: name for name, upstream in self._upstreams.items()
        }
        self.registry = Registry()
        self._register()
        self._placers = make_placers(
            self.clock,
            self.registry,
            self._service,
            random.Random(seed),
            scenario.host_count,
        )
        for crash in scenario.crashes:
            self._schedule_crash(crash.engine_count, crash.start_s, crash.duration_s)
        if scenario.noise is not None:
            self._schedule_noise(scenario.noise, scenario.duration_s, seed)

    def run(self, arrivals: list[Arrival], until: float) -> None:
        """Run the scenario.

        :param arrivals: requests of the callers
        :param until: simulated seconds since the start at which to stop
        """
        for arrival in arrivals:
            caller = _SimulatedCaller(self, arrival)
            self.clock.call_at(arrival.at, caller.start)
        self.clock.run_until(until)

    def usable_upstreams(self) -> list[Upstream]:
        """Return the upstreams of the engines that are running."""
        return [
            upstream
            for name, upstream in self._upstreams.items()
            if name not in self._down_engines
        ]

    def pick_placer(self) -> Placer:
        """Return the placer of a random host, as a load balancer would choose it."""
        return self._rng.choice(self._placers)

    def route(self, kind: RequestKind) -> Route:
        """Return the route of a kind of request."""
        return self._routes[kind.name]

    @property
    def service(self) -> Service:
        """The service that the engines provide."""
        return self._service

    def engine_at(self, address: Address | None) -> SimulatedEngine | None:
        """Return the engine with an address, or ``None`` without an address."""
        return None if address is None else self.engines[self._by_address[address]]

    def _make_engines(self, scenario: Scenario) -> dict[str, SimulatedEngine]:
        engines = {}
        prefilled_at: dict[int, float] = {}
        for number in range(scenario.engine_count):
            slowdown = scenario.engine_slowdowns[
                number % len(scenario.engine_slowdowns)
            ]
            parameters = EngineParameters(
                slots=scenario.slots,
                memory_tokens=scenario.memory_tokens,
                tokens_per_event=scenario.tokens_per_event,
                slowdown=slowdown,
                crowded_share=scenario.crowded_share,
                crowding=scenario.crowding,
            )
            engines[f'engine-{number}'] = SimulatedEngine(
                self.clock, parameters, prefilled_at
            )
        return engines

    def _schedule_crash(self, count: int, start_s: float, duration_s: float) -> None:
        names = self._rng.sample(sorted(self.engines), count)

        def crash() -> None:
            for name in names:
                for job in self.engines[name].crash():
                    job.on_event(None)
                self._down_engines.add(name)
            self._register()

        def restart() -> None:
            for name in names:
                self.engines[name].restart()
                self._down_engines.discard(name)
            self._register()

        self.clock.call_at(start_s, crash)
        self.clock.call_at(start_s + duration_s, restart)

    def _schedule_noise(self, noise: Noise, until_s: float, seed: int) -> None:
        rng = random.Random(f'noise-{seed}')
        quiet_s = noise.duration_s * (1.0 - noise.share) / noise.share
        for engine in self.engines.values():
            at_s = rng.expovariate(1.0 / quiet_s)
            while at_s < until_s:
                end_s = at_s + noise.duration_s
                for when, factor in ((at_s, noise.factor), (end_s, 1.0)):
                    self.clock.call_at(
                        when,
                        lambda engine=engine, factor=factor: setattr(
                            engine, 'noise_factor', factor
                        ),
                    )
                at_s = end_s + rng.expovariate(1.0 / quiet_s)

    def _register(self) -> None:
        entries = {
            upstream.id: Registration(upstream, leaving=False)
            for upstream in self.usable_upstreams()
        }
        now = self.clock.monotonic()
        self.registry.replace(entries, now, after_outage=False)


class _SimulatedCaller:
    """Sends one request and retries it after a refusal or a crash."""

    def __init__(self, fleet: Fleet, arrival: Arrival) -> None:
        self._fleet = fleet
        self._arrival = arrival
        self._expires = arrival.at + arrival.kind.patience_s
        self._refusals = 0
        self._attempts = 0
        self._first_event_at: float | None = None
        self._last_event_at = 0.0
        self._longest_pause_s = 0.0
        self._done = False
        self._events = 0
        self._job: Job | None = None
        self._excluded: frozenset[str] = frozenset()
        fleet.clock.call_at(self._expires, self._expire)

    def start(self) -> None:
        """Send the request to a host."""
        if self._done:
            return
        clock = self._fleet.clock
        self._attempts += 1
        clock.call_later(DISPATCH_ROUND_TRIP_S, self._place)

    def _place(self) -> None:
        if self._done:
            return
        clock = self._fleet.clock
        try:
            placer = self._fleet.pick_placer()
            ticket = placer.place(
                self._unplaced_request(), self._fleet.usable_upstreams()
            )
        except NoUpstreamError as exc:
            self._handle_refusal(exc.retry_after_s)
            return
        engine = self._fleet.engines[ticket.upstream.id]
        generated = self._events * engine.parameters.tokens_per_event
        job = Job(
            self._arrival.parts,
            max(1, self._arrival.output_tokens - generated),
            ticket.urgency if ticket.urgency is not None else 5,
            lambda last: clock.call_later(
                NETWORK_DELAY_S, lambda: self._handle_event(ticket, last)
            ),
        )
        self._job = job
        self._engine = engine
        self._ticket = ticket
        source = self._fleet.engine_at(getattr(ticket, 'fetch_from', None))
        clock.call_later(NETWORK_DELAY_S, lambda: engine.submit(job, source))

    def _unplaced_request(self) -> UnplacedRequest:
        arrival = self._arrival
        kind = arrival.kind
        prompt = Prompt(
            'm',
            tuple(PromptPart(str(digest), size) for digest, size in arrival.parts),
            sum(size for _, size in arrival.parts),
            arrival.max_output_tokens,
            arrival.output_hint_tokens,
        )
        request = CallerRequest(
            str(arrival.number), b'POST', b'/', 'h', '/', [], b'', None,
            kind.patience_s, prompt, arrival.at,
        )  # fmt: skip
        return UnplacedRequest(
            request,
            self._fleet.route(kind),
            self._fleet.service,
            kind.rank,
            None,
            self._excluded,
            arrival.at + kind.target_s,
            self._expires,
            self._attempts > 1,
        )

    def _handle_event(self, ticket: object, last: bool | None) -> None:
        if self._done or ticket is not self._ticket:
            return
        now = self._fleet.clock.monotonic()
        if last is None:
            self._handle_crash(ticket)
            return
        ticket.on_event()
        self._events += 1
        if self._first_event_at is None:
            self._first_event_at = now
        else:
            self._longest_pause_s = max(
                self._longest_pause_s, now - self._last_event_at
            )
        self._last_event_at = now
        if last:
            ticket.end('done')
            self._finish(self._classify_answer())

    def _classify_answer(self) -> str:
        kind = self._arrival.kind
        first_event_s = self._first_event_at - self._arrival.at
        if (
            first_event_s <= kind.target_s
            and self._longest_pause_s <= kind.pause_target_s
        ):
            return 'in target'
        return 'late'

    def _handle_crash(self, ticket: object) -> None:
        ticket.end('failed')
        self._excluded |= {ticket.upstream.id}
        if self._events and not self._arrival.kind.resumable:
            self._finish('failed')
        else:
            self.start()

    def _handle_refusal(self, retry_after_s: float) -> None:
        self._refusals += 1
        left = self._expires - self._fleet.clock.monotonic()
        if self._refusals > 1:
            self._finish('refused')
            return
        delay_s = min(retry_after_s, left * MAX_RETRY_DELAY_SHARE)
        self._fleet.clock.call_later(delay_s, self.start)

    def _expire(self) -> None:
        if self._done:
            return
        if self._job is not None:
            self._engine.cancel(self._job)
            self._ticket.end('cancelled')
            self._finish('failed')
        else:
            self._finish('refused')

    def _finish(self, result: str) -> None:
        self._done = True
        first_event_s = (
            None
            if self._first_event_at is None
            else self._first_event_at - self._arrival.at
        )
        outcome = Outcome(
            self._arrival, result, first_event_s, self._longest_pause_s, self._refusals
        )
        self._fleet.outcomes.append(outcome)


def _upstream(name: str, number: int) -> Upstream:
    address = Address('10.0.0.1', FIRST_PORT + number)
    return Upstream(name, 1, 'engines', address, ZONE, EngineParameters().slots)


def _route(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        host='h',
        prefix='/',
        shares=(ServiceShare('engines', 1.0),),
        repeat=Repeat.RESUME if kind.resumable else Repeat.NEVER,
        streamed=True,
        public=False,
        rank=kind.rank,
        max_runs=2,
        timeout_s=kind.patience_s,
        first_byte_target_s=kind.target_s,
        pause_target_s=kind.pause_target_s,
    )
