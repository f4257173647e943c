"""Checks of histories that callers and upstreams recorded."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

SHED_CODES = (ResultCode.NO_CAPACITY, ResultCode.DEADLINE_EXCEEDED)
NOT_RUN_CODES = (
    *SHED_CODES,
    ResultCode.NO_UPSTREAM,
    ResultCode.NOT_READY,
    ResultCode.MINORITY,
    ResultCode.CLAIM_STORE_UNAVAILABLE,
)


class ShedRequest(NamedTuple):
    """A request that was given up. Times are monotonic seconds."""

    tier: int
    asked_at: float
    shed_at: float


class AcceptedRequest(NamedTuple):
    """A request that an upstream accepted."""

    tier: int
    at: float


class FinishedCall(NamedTuple):
    """A call that an upstream carried."""

    tier: int
    begin: float
    end: float


def priority_inversions(
    sheds: Iterable[ShedRequest], starts: Iterable[AcceptedRequest], grace_s: float
) -> list[tuple[ShedRequest, AcceptedRequest]]:
    """Return sheds while a lower tier was started.

    :param grace_s: at both ends of a wait, for messages on their way
    """
    ordered = list(starts)
    return [
        (shed, start)
        for shed in sheds
        for start in ordered
        if start.tier > shed.tier
        and shed.asked_at + grace_s < start.at < shed.shed_at - grace_s
    ]


def sheds_during_lower_tier_calls(
    sheds: Iterable[ShedRequest], spans: Iterable[FinishedCall], grace_s: float
) -> list[tuple[ShedRequest, FinishedCall]]:
    """Return sheds while a lower tier ran on, before and after the shed.

    :param grace_s: before the shed for its start, after it for its preemption
    """
    ordered = list(spans)
    return [
        (shed, span)
        for shed in sheds
        for span in ordered
        if span.tier > shed.tier
        and span.begin < shed.shed_at - grace_s
        and span.end > shed.shed_at + grace_s
    ]


def longest_gap(times: Iterable[float], begin: float, end: float) -> float:
    """Return the longest time without an event between two moments."""
    inside = [at for at in sorted(times) if begin <= at <= end]
    marks = [begin, *inside, end]
    return max(after - before for before, after in zip(marks, marks[1:], strict=False))


def duplicate_executions(executions: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Return the idempotency keys that were executed more than once."""
    counts = Counter(entry['key'] for entry in executions if entry['key'])
    return {key: count for key, count in counts.items() if count > 1}


def wrongly_reported_not_run(
    observations: Iterable[dict[str, Any]], executions: Iterable[dict[str, Any]]
) -> list[str]:
    """Return keys of callers who were told "not run" of a request that was run.

    A caller that also had an attempt without any answer was told nothing of it.
    """
    run = {entry['key'] for entry in executions}
    return [
        entry['idempotency_key']
        for entry in observations
        if entry['last_code'] in NOT_RUN_CODES
        and entry['outcome'] in ('shed', 'failed')
        and not entry['unanswered']
        and entry['idempotency_key'] in run
    ]


def shed_requests(
    observations: Iterable[dict[str, Any]], tiers: dict[str, int]
) -> list[ShedRequest]:
    """Return the sheds among observations of the load tool."""
    return [
        ShedRequest(
            tiers[entry['stream']],
            entry['intended'],
            entry['intended'] + entry['end_s'],
        )
        for entry in observations
        if entry['last_code'] in SHED_CODES
    ]


def accepted_requests(
    logs: Iterable[list[Any]], tiers: dict[str, int]
) -> list[AcceptedRequest]:
    """Return the starts among engines' logs."""
    return [
        AcceptedRequest(tiers[name], at)
        for log in logs
        for at, event, name, _ in log
        if event == 'accepted'
    ]


def finished_calls(
    logs: Iterable[list[Any]], tiers: dict[str, int]
) -> list[FinishedCall]:
    """Return the calls among engines' logs that have ended."""
    spans = []
    for log in logs:
        begun: dict[str, float] = {}
        for at, event, name, request_id in log:
            if event == 'accepted':
                begun[request_id] = at
            elif request_id in begun:
                spans.append(FinishedCall(tiers[name], begun.pop(request_id), at))
    return spans
