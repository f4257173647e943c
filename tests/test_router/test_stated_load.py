"""Loads that upstreams state: decoding, reports to dispatchers and their age."""

from __future__ import annotations

import random
from typing import Any

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.policy.enginespeed import EnginePerformance
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.learnedcapacity import LearnedReport
from rosemaryseam.router.requests import StatedLoad
from rosemaryseam.router.routes import EngineProfile, Service
from rosemaryseam.router.statedload import LoadExchange
from rosemaryseam.router.upstreams import Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

LOADS = [
    (b'3,0,8', StatedLoad(3, 0, 8)),
    (b' 3 , 1 , 8 , 250 ', StatedLoad(3, 1, 8, 250.0)),
    (b'3,0,8,87.5,9,x', StatedLoad(3, 0, 8, 87.5)),
    (b'3,0,8,', StatedLoad(3, 0, 8)),
    (b'3,0,8,slow', StatedLoad(3, 0, 8)),
    (b'3,0,8,-5', StatedLoad(3, 0, 8)),
    (b'3,0,8,nan', StatedLoad(3, 0, 8)),
    (b'3,0,8,1e9', StatedLoad(3, 0, 8)),
    (b'', None),
    (b'3,0', None),
    (b'3,-1,8', None),
    (b'3,x,8,100', None),
    (b'3,0,' + b'9' * 5000, None),
]


# Guards against a header with further figures that hides the known ones, and against
# one that ends the answer.
@pytest.mark.parametrize(('value', 'load'), LOADS)
def test_a_stated_load_is_decoded(value: bytes, load: StatedLoad | None) -> None:
    fields = [(b'X-Upstream-Load', value)]
    assert open_header_codec().decode_answer(200, b'', fields).load == load


UPSTREAM = Upstream('one', 1, 'engines', Address('10.0.0.1', 80), 'a', 64)
SERVICE = Service('engines', '/health', 0, EngineProfile(64, 300_000, 5, True))


class Link:
    """Delivers messages to the exchange of another host and counts them."""

    def __init__(self) -> None:
        self.others: dict[str, LoadExchange] = {}
        self.sent: list[tuple[str, Any]] = []

    def send_message(self, host: str, kind: str, body: Any) -> None:
        """Deliver a message."""
        self.sent.append((host, body))
        self.others[host].handle('a' if host == 'b' else 'b', body)


def two_hosts() -> tuple[SimulatedClock, Link, list[LoadExchange]]:
    """Return the exchanges of two hosts, of which ``b`` dispatches."""
    clock, link = SimulatedClock(), Link()
    exchanges = []
    for host in 'ab':
        tracker = UpstreamTracker(clock, lambda _: SERVICE, random.Random(1))
        tracker.retain_upstreams([UPSTREAM])
        exchange = LoadExchange(host, clock, tracker, lambda _: 'b')
        exchange.connect(link)
        link.others[host] = exchange
        exchanges.append(exchange)
    clock.run_until(100.0)
    clock.call_at(100.0, lambda: None)
    clock.run_until(100.0)
    return clock, link, exchanges


# Guards against a report for each event, and against evidence that is never reported.
def test_reports_are_batched_and_complete() -> None:
    clock, link, (host, dispatcher) = two_hosts()
    load = StatedLoad(2, 0, 64, 100.0)
    for number in range(200):
        clock.call_at(100.0 + number * 0.01, lambda: host.record_load(UPSTREAM, load))
        clock.call_at(100.0 + number * 0.01, lambda: host.record_event(UPSTREAM, 0.03))
    clock.call_at(102.5, host.step)
    clock.run_until(103.0)
    seen = [body['seen'][0] for to, body in link.sent if to == 'b']
    assert len(seen) <= 10
    assert sum(entry[5] for entry in seen) == 200
    learned = dispatcher._tracker.dump()['one']['learned']
    assert learned['stated_load'] == load._asdict()
    assert 0.9 <= learned['stated_age_s'] <= 1.1
    assert learned['step_us'] + 4 * learned['step_per_slot_us'] > 4500


# Guards against one unreadable entry of another version that hides the others.
BAD_ENTRIES = [
    [],
    None,
    ['one', 1, 0.0],
    ['one', 1, 'old', [1, 0, 64], 0.0, 0],
    ['one', 1, 9.0, [1, 0, 64], 0.0, 0],
    ['one', 1, -1.0, [1, 0, 64], 0.0, 0],
    ['one', 1, 0.0, [1], 0.0, 0],
    ['one', 1, 0.0, None, float('nan'), 3],
]


@pytest.mark.parametrize('bad', BAD_ENTRIES, ids=str)
def test_an_unreadable_entry_hides_no_other(bad: Any) -> None:
    _, _, (_, dispatcher) = two_hosts()
    good = ['one', 1, 0.1, [1, 2, 64, 130.0], 0.0, 0]
    dispatcher.handle('a', {'seen': [bad, good], 'learned': [bad], 'more': 1})
    learned = dispatcher._tracker.dump()['one']['learned']
    assert learned['stated_load'] == StatedLoad(1, 2, 64, 130.0)._asdict()


# Guards against hosts that cannot tell a new dispatcher what the former one learned.
def test_hosts_remember_what_dispatchers_learned() -> None:
    _, _, (host, dispatcher) = two_hosts()
    slow = EnginePerformance(27_000.0, 0.0076, 0.0002)
    dispatcher._tracker.adopt_learned(LearnedReport('one', 1, 0.0, slow, 0.05))
    host.record_load(UPSTREAM, StatedLoad(1, 0, 64))
    known = host._tracker.learned.reports({'one'})
    assert [entry.upstream for entry in known] == ['one']
    assert known[0].figures.prefill_tokens_per_s == pytest.approx(27_000.0, rel=0.05)
    assert known[0].work_s == pytest.approx(0.05)
