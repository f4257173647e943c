"""Hosts that place a day's requests on model engines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.engine import EngineRates, Job, ModelEngine
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

    from rosemaryseam.experiments.load import Arrival, Kind, Scenario
    from rosemaryseam.router.placement import Placer

    PlacerFactory = Callable[
        [SimulatedClock, Registry, Service, random.Random, int], list[Placer]
    ]

ASK_S = 0.002  # to a dispatcher and back
NETWORK_S = 0.001  # one way
ZONE = 'a'
FIRST_PORT = 1000
RETRY_SHARE = 1.0 / 3.0  # of a caller's time left that it waits at most


class Outcome(NamedTuple):
    """How a request ended: ``in target``, ``late``, ``refused`` or ``failed``."""

    arrival: Arrival
    result: str
    first_s: float | None
    pause_s: float
    refusals: int


class Fleet:
    """A day of a scenario.

    :param scenario: the day
    :param make_placers: makes the placer that each host uses
    :param seed: of the hosts' choices
    """

    def __init__(
        self, scenario: Scenario, make_placers: PlacerFactory, seed: int
    ) -> None:
        self.clock = SimulatedClock()
        self._rng = random.Random(seed)
        self.outcomes: list[Outcome] = []
        shape = EngineProfile(
            scenario.slots, scenario.memory_tokens, scenario.tokens_per_event, True
        )
        self._service = Service('engines', '/health', 0, shape)
        self._routes = {kind.name: _route(kind) for kind in scenario.kinds}
        self.engines = self._make_engines(scenario)
        self._upstreams = {
            name: Upstream(
                name, 1, 'engines', Address('10.0.0.1', 1000 + number), ZONE, 64
            )
            for number, name in enumerate(self.engines)
        }
        self._down: set[str] = set()
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
            scenario.hosts,
        )
        for crash in scenario.crashes:
            self._schedule_crash(crash.engines, crash.at_s, crash.for_s)

    def run(self, arrivals: list[Arrival], until: float) -> None:
        """Play the day.

        :param arrivals: the requests
        :param until: simulated seconds
        """
        for arrival in arrivals:
            call = _Call(self, arrival)
            self.clock.call_at(arrival.at, call.start)
        self.clock.run_until(until)

    def usable(self) -> list[Upstream]:
        """Return the engines that are registered."""
        return [
            upstream
            for name, upstream in self._upstreams.items()
            if name not in self._down
        ]

    def pick_placer(self) -> Placer:
        """Return the placer of the host that a caller reaches."""
        return self._rng.choice(self._placers)

    def route(self, kind: Kind) -> Route:
        """Return the route of a kind of request."""
        return self._routes[kind.name]

    @property
    def service(self) -> Service:
        """The engines' service."""
        return self._service

    def engine_at(self, address: Address | None) -> ModelEngine | None:
        """Return the engine at an address."""
        return None if address is None else self.engines[self._by_address[address]]

    def _make_engines(self, scenario: Scenario) -> dict[str, ModelEngine]:
        engines = {}
        seen: dict[int, float] = {}
        for number in range(scenario.engines):
            slowness = scenario.engine_slowness[number % len(scenario.engine_slowness)]
            rates = EngineRates(
                slots=scenario.slots,
                memory_tokens=scenario.memory_tokens,
                tokens_per_event=scenario.tokens_per_event,
                slowness=slowness,
            )
            engines[f'engine-{number}'] = ModelEngine(self.clock, rates, seen)
        return engines

    def _schedule_crash(self, count: int, at_s: float, for_s: float) -> None:
        names = self._rng.sample(sorted(self.engines), count)

        def crash() -> None:
            for name in names:
                for job in self.engines[name].crash():
                    job.on_event(None)
                self._down.add(name)
            self._register()

        def restart() -> None:
            for name in names:
                self.engines[name].restart()
                self._down.discard(name)
            self._register()

        self.clock.call_at(at_s, crash)
        self.clock.call_at(at_s + for_s, restart)

    def _register(self) -> None:
        entries = {
            upstream.id: Registration(upstream, leaving=False)
            for upstream in self.usable()
        }
        now = self.clock.monotonic()
        self.registry.replace(entries, now, after_outage=False)


class _Call:
    """One request of a caller, with its second try after a refusal or a crash."""

    def __init__(self, fleet: Fleet, arrival: Arrival) -> None:
        self._fleet = fleet
        self._arrival = arrival
        self._expires = arrival.at + arrival.kind.patience_s
        self._refusals = 0
        self._attempts = 0
        self._first_at: float | None = None
        self._last_at = 0.0
        self._pause = 0.0
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
        clock.call_later(ASK_S, self._place)

    def _place(self) -> None:
        if self._done:
            return
        clock = self._fleet.clock
        try:
            placer = self._fleet.pick_placer()
            ticket = placer.place(self._unplaced_request(), self._fleet.usable())
        except NoUpstreamError as exc:
            self._refused(exc.retry_after_s)
            return
        engine = self._fleet.engines[ticket.upstream.id]
        made = self._events * engine.rates.tokens_per_event
        job = Job(
            self._arrival.parts,
            max(1, self._arrival.output_tokens - made),
            ticket.urgency if ticket.urgency is not None else 5,
            lambda last: clock.call_later(NETWORK_S, lambda: self._event(ticket, last)),
        )
        self._job = job
        self._engine = engine
        self._ticket = ticket
        source = self._fleet.engine_at(getattr(ticket, 'fetch_from', None))
        clock.call_later(NETWORK_S, lambda: engine.submit(job, source))

    def _unplaced_request(self) -> UnplacedRequest:
        arrival = self._arrival
        kind = arrival.kind
        prompt = Prompt(
            'm',
            tuple(PromptPart(str(digest), size) for digest, size in arrival.parts),
            sum(size for _, size in arrival.parts),
            arrival.most_output,
            arrival.hint_tokens,
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

    def _event(self, ticket: object, last: bool | None) -> None:
        if self._done or ticket is not self._ticket:
            return
        now = self._fleet.clock.monotonic()
        if last is None:
            self._crashed(ticket)
            return
        ticket.on_event()
        self._events += 1
        if self._first_at is None:
            self._first_at = now
        else:
            self._pause = max(self._pause, now - self._last_at)
        self._last_at = now
        if last:
            ticket.end('done')
            self._finish(self._judge())

    def _judge(self) -> str:
        kind = self._arrival.kind
        first = self._first_at - self._arrival.at
        if first <= kind.target_s and self._pause <= kind.pause_s:
            return 'in target'
        return 'late'

    def _crashed(self, ticket: object) -> None:
        ticket.end('failed')
        self._excluded |= {ticket.upstream.id}
        if self._events and not self._arrival.kind.resumable:
            self._finish('failed')
        else:
            self.start()

    def _refused(self, retry_after_s: float) -> None:
        self._refusals += 1
        left = self._expires - self._fleet.clock.monotonic()
        if self._refusals > 1:
            self._finish('refused')
            return
        wait = min(retry_after_s, left * RETRY_SHARE)
        self._fleet.clock.call_later(wait, self.start)

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
        first = None if self._first_at is None else self._first_at - self._arrival.at
        outcome = Outcome(self._arrival, result, first, self._pause, self._refusals)
        self._fleet.outcomes.append(outcome)


def _upstream(name: str, number: int) -> Upstream:
    address = Address('10.0.0.1', FIRST_PORT + number)
    return Upstream(name, 1, 'engines', address, ZONE, EngineRates().slots)


def _route(kind: Kind) -> Route:
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
        pause_target_s=kind.pause_s,
    )
