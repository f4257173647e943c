"""Checkers for the histories recorded by callers and upstreams."""

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
    """Describes a request that was shed. Times are monotonic seconds."""

    tier: int
    sent_at: float
    shed_at: float


class AcceptedRequest(NamedTuple):
    """Describes a request that an upstream accepted."""

    tier: int
    at: float


class FinishedCall(NamedTuple):
    """Describes a call that an upstream completed or cancelled."""

    tier: int
    begin: float
    end: float


def priority_inversions(
    sheds: Iterable[ShedRequest], starts: Iterable[AcceptedRequest], grace_s: float
) -> list[tuple[ShedRequest, AcceptedRequest]]:
    """Return sheds during whose wait a request of a lower tier was accepted.

    :param grace_s: seconds ignored at both ends of a wait, for messages in transit
    """
    ordered = list(starts)
    return [
        (shed, start)
        for shed in sheds
        for start in ordered
        if start.tier > shed.tier
        and shed.sent_at + grace_s < start.at < shed.shed_at - grace_s
    ]


def sheds_during_lower_tier_calls(
    sheds: Iterable[ShedRequest], spans: Iterable[FinishedCall], grace_s: float
) -> list[tuple[ShedRequest, FinishedCall]]:
    """Return sheds with a call of a lower tier that ran both before and after them.

    :param grace_s: seconds for the call's start before the shed, and for its
        preemption after the shed
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
    """Return the longest time without an event between ``begin`` and ``end``."""
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
    """Return keys of requests that were executed but reported as not executed.

    A caller with an unanswered attempt is left out, as nothing was reported to it about
    that attempt.
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
    """Return the shed requests among the observations of the load tool."""
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
    """Return the accepted requests in the logs of the engines."""
    return [
        AcceptedRequest(tiers[name], at)
        for log in logs
        for at, event, name, _ in log
        if event == 'accepted'
    ]


def finished_calls(
    logs: Iterable[list[Any]], tiers: dict[str, int]
) -> list[FinishedCall]:
    """Return the calls in the logs of the engines that have ended."""
    spans = []
    for log in logs:
        begun: dict[str, float] = {}
        for at, event, name, request_id in log:
            if event == 'accepted':
                begun[request_id] = at
            elif request_id in begun:
                spans.append(FinishedCall(tiers[name], begun.pop(request_id), at))
    return spans
