"""Engine selection and admission; each table row names its situation."""

from __future__ import annotations

from typing import Any

import pytest
from test_engines import CAPACITY, PERFORMANCE, in_flight

from rosemaryseam.policy.engineplacement import (
    EngineCandidate,
    PlacementRequest,
    choose_engine,
    rank_by_affinity,
    request_weight,
    risk,
    should_admit,
)
from rosemaryseam.policy.engines import EngineView
from rosemaryseam.policy.prefixes import EngineCache, PartUses

LONG_PROMPT_PARTS = ((1, 2500), (2, 3800), (3, 2900))
SHORT_PROMPT_PARTS = ((7, 100), (8, 70), (9, 540))


def request(**changes: Any) -> PlacementRequest:
    """Return a request with a long prompt and a loose target."""
    entry = PlacementRequest(
        rank=2,
        relative_work=1.0,
        headroom_tokens=0,
        allowance=1.0,
        parts=LONG_PROMPT_PARTS,
        prompt_tokens=9200,
        output_tokens=50,
        pause_s=1.2,
        due_in_s=1.5,
        expires_in_s=5.0,
        body_bytes=18_000,
    )
    return entry._replace(**changes)


def urgent(**changes: Any) -> PlacementRequest:
    """Return a request with a short prompt, a long answer and a tight pause."""
    fields = {
        'rank': 0,
        'parts': SHORT_PROMPT_PARTS,
        'prompt_tokens': 710,
        'output_tokens': 280,
        'pause_s': 0.3,
        'expires_in_s': 15.0,
        **changes,
    }
    return request(**fields)


def candidate(name: str, **changes: Any) -> EngineCandidate:
    """Return an idle engine."""
    entry = EngineCandidate(
        name=name,
        view=EngineView(CAPACITY, PERFORMANCE),
        cache=EngineCache(CAPACITY.cache_tokens),
        same_zone=True,
        affinity_order=0,
        penalty=0.0,
        shares_cache=True,
    )
    return entry._replace(**changes)


def loaded(name: str, count: int, **fields: Any) -> EngineCandidate:
    """Return an engine with some requests that were just sent."""
    entry = candidate(name)
    for number in range(count):
        entry.view.add(in_flight(number, **fields), 0.0)
    return entry


def streaming(name: str, count: int) -> EngineCandidate:
    """Return an engine with streams that may pause for 0.3 s at most."""
    entry = candidate(name)
    for number in range(count):
        one = in_flight(
            number, rank=0, prefill_tokens=500, pause_s=0.3, expires_at=15.0
        )
        entry.view.add(one, -2.0)
        entry.view.record_first_event(one.key, -1.0)
    return entry


def holding(name: str, **changes: Any) -> EngineCandidate:
    """Return an engine that holds the shared parts of the long prompt."""
    entry = candidate(name, **changes)
    entry.cache.touch(LONG_PROMPT_PARTS, 0, -1.0)
    return entry


CHOICES = [
    ('an idle engine over a busy one', request(), ['busy', 'idle'], 'idle'),
    (
        'long prompts keep away from short pauses',
        request(),
        ['streams', 'some backlog'],
        'some backlog',
    ),
    (
        'short pauses stay together when all are busy',
        urgent(),
        ['streams', 'half busy'],
        'streams',
    ),
    ('an engine that caches the prompt over an idle one', request(),
     ['idle', 'caching'], 'caching'),
    ('not a caching engine with a long backlog', request(),
     ['busy caching', 'idle'], 'idle'),
    ('not an engine that refuses connections', request(), ['closed', 'busy'], 'busy'),
    ('not an engine without a slot', request(), ['full', 'some backlog'],
     'some backlog'),
    ('the same zone over another', request(), ['far', 'idle'], 'idle'),
]  # fmt: skip


def engine(name: str) -> EngineCandidate:
    """Return the engine with the name that a table row uses."""
    makers = {
        'idle': lambda: candidate('idle'),
        'busy': lambda: loaded('busy', 14),
        'some backlog': lambda: loaded('some backlog', 2),
        'half busy': lambda: loaded('half busy', 4),
        'streams': lambda: streaming('streams', 10),
        'caching': lambda: holding('caching'),
        'busy caching': lambda: holding('busy caching', view=loaded('x', 14).view),
        'closed': lambda: candidate('closed', penalty=50.0),
        'full': lambda: loaded('full', 96, prefill_tokens=1, memory_tokens=1),
        'far': lambda: candidate('far', same_zone=False),
    }
    return makers[name]()


@pytest.mark.parametrize(
    ('name', 'entry', 'engines', 'expected'), CHOICES, ids=[row[0] for row in CHOICES]
)
def test_chosen_engine(
    name: str, entry: PlacementRequest, engines: list[str], expected: str
) -> None:
    choice = choose_engine(entry, [engine(one) for one in engines], PartUses(), 0.0)
    assert choice is not None
    assert choice.name == expected


def test_an_idle_engine_fetches_cached_parts_from_a_busy_one() -> None:
    engines = [engine('busy caching'), engine('idle')]
    choice = choose_engine(request(), engines, PartUses(), 0.0)
    assert choice is not None
    assert (choice.name, choice.fetch_from) == ('idle', 'busy caching')
    assert choice.prefill_tokens < 3000


def test_nothing_is_fetched_from_a_closed_engine() -> None:
    closed = holding('closed', penalty=50.0, shares_cache=False)
    choice = choose_engine(request(), [closed, engine('idle')], PartUses(), 0.0)
    assert choice is not None
    assert (choice.name, choice.fetch_tokens) == ('idle', 0)


ADMISSIONS = [
    ('idle', request(), 0, True),
    ('some load', request(), 6, True),
    ('nearly no time left', request(), 8, True),
    ('no room for the largest', request(headroom_tokens=10_000), 8, False),
    ('too little time left', request(), 9, False),
    ('no room, but large', request(relative_work=2.0, headroom_tokens=10_000), 8, True),
    ('too little time left, but with an allowance', request(allowance=3.0), 9, True),
    ('a backlog past the target', request(), 30, False),
    ('the most urgent, whatever the load', urgent(), 30, True),
]


@pytest.mark.parametrize(
    ('name', 'entry', 'requests', 'expected'),
    ADMISSIONS,
    ids=[row[0] for row in ADMISSIONS],
)
def test_should_admit(
    name: str, entry: PlacementRequest, requests: int, expected: bool
) -> None:
    choice = choose_engine(entry, [loaded('one', requests)], PartUses(), 0.0)
    assert choice is not None
    assert should_admit(entry, choice) is expected


def test_a_less_urgent_request_is_never_placed_where_a_more_urgent_is_refused() -> None:
    for requests in range(0, 60, 3):
        admitted = []
        for rank in (0, 1, 2):
            entry = request(
                rank=rank, parts=SHORT_PROMPT_PARTS, prompt_tokens=710, pause_s=0.5
            )
            choice = choose_engine(entry, [loaded('one', requests)], PartUses(), 0.0)
            assert choice is not None
            admitted.append(should_admit(entry, choice))
        assert admitted == sorted(admitted, reverse=True)


def test_there_is_no_choice_without_engines() -> None:
    assert choose_engine(request(), [], PartUses(), 0.0) is None


RISKS = [
    ('far below', 0.1, 1.0, 0.0),
    ('at the limit', 1.0, 1.0, 0.5),
    ('far above', 9.0, 1.0, 1.0),
    ('no time left', 0.1, 0.0, 1.0),
]


@pytest.mark.parametrize(
    ('name', 'value', 'limit', 'expected'), RISKS, ids=[row[0] for row in RISKS]
)
def test_risk(name: str, value: float, limit: float, expected: float) -> None:
    assert risk(value, limit) == pytest.approx(expected, abs=0.001)


def test_weight_grows_with_urgency_and_size() -> None:
    assert request_weight(0) > request_weight(1) >= request_weight(2) > 0
    assert (
        request_weight(2, 0.1)
        < request_weight(2, 1.0)
        < request_weight(2, 4.0)
        == request_weight(2, 9.0)
    )


def test_hosts_agree_on_the_order_for_a_new_session() -> None:
    names = ['a', 'b', 'c']
    assert rank_by_affinity('s', names) == rank_by_affinity('s', names[::-1])


BEGUN = [
    ('beside many streams', streaming('a', 44), True),
    ('behind a long backlog', loaded('a', 16, prefill_tokens=9200), False),
    ('without memory', loaded('a', 60, prefill_tokens=0, memory_tokens=9_000), False),
]


# Guards against streams that are lost although an engine of their version could go on
# with them (LOST, issue 42): new requests are refused lest other streams pause.
@pytest.mark.parametrize(
    ('name', 'engine', 'admitted'), BEGUN, ids=[row[0] for row in BEGUN]
)
def test_an_answer_that_has_begun_goes_on_if_it_can(
    name: str, engine: EngineCandidate, admitted: bool
) -> None:
    new, begun = request(), request(is_begun=True)
    choice = choose_engine(new, [engine], PartUses(), 0.0)
    assert not should_admit(new, choice)
    assert should_admit(begun, choice) is admitted
