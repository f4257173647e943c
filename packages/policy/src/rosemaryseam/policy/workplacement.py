"""Selection of an upstream for a request without a prompt, by its expected end."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.workspeed import queued_share

if TYPE_CHECKING:
    from collections.abc import Sequence

# Part of a work time by which a full set of slots counts before there is a queue, so
# that equal upstreams share the load.
SPREAD_SHARE = 0.25
# Work times that differ by less from the shortest one count as equal, so that errors of
# the estimates don't decide.
EQUAL_FACTOR = 1.25
EQUAL_DIFFERENCE_S = 0.003
OTHER_ZONE_REQUESTS = 0.3  # requests by which another zone counts, a tie-breaker
PROBE_AFTER_S = 2.0  # without a request while others get them, an upstream is tried
PROBE_AFTER_REQUESTS = 20  # that others got meanwhile
PROBE_TIME_SHARE = 0.4  # of the time left that the answer of a tried upstream may take
PROBE_TIME_FACTOR = 2.5  # on the work time; the upstream may have become slower


class WorkRequest(NamedTuple):
    """Describes a request; times in seconds until its target and its deadline."""

    due_in_s: float
    expires_in_s: float


class WorkCandidate(NamedTuple):
    """Describes an upstream on which a request may be placed.

    ``in_flight`` counts the requests there, also those that other dispatchers placed.
    ``is_known`` is true if ``work_s`` rests on answers. ``queue_limit`` is the number
    of requests in flight at which it declines others. ``idle_s`` is the time since it
    got a request, ``skipped`` the number of requests that others got since. ``penalty``
    is the loss by failures, in work times.
    """

    name: str
    in_flight: float
    slots: int
    work_s: float
    is_known: bool
    overdue_s: float
    queue_limit: float
    idle_s: float
    skipped: int
    same_zone: bool
    penalty: float


class WorkChoice(NamedTuple):
    """Describes the chosen upstream; ``expected_s`` is the delay until its answer.

    ``refusal`` is the reason not to place the request, ``None`` if it is placed.
    """

    name: str
    expected_s: float
    wait_s: float
    is_probe: bool
    refusal: str | None


def choose_upstream(
    request: WorkRequest, candidates: Sequence[WorkCandidate]
) -> WorkChoice:
    """Return the upstream at which the answer is expected first.

    Requests that may end late but before their deadline are placed: a late answer is
    worth more than a refusal.

    :param request: request to place
    :param candidates: upstreams, at least one
    """
    opened = [entry for entry in candidates if entry.in_flight < entry.queue_limit]
    if not opened:
        first = min(candidates, key=expected_s)
        return _choice(first, refusal='the queues of all upstreams are full')
    for entry in opened:
        if _should_probe(request, entry):
            return _choice(entry, is_probe=True)
    unit_s = min(entry.work_s for entry in opened)
    best = min(opened, key=lambda entry: _loss(entry, unit_s))
    # An upstream that may fail is better than none before the deadline.
    timely = [entry for entry in opened if expected_s(entry) <= request.expires_in_s]
    if best not in timely and timely:
        best = min(timely, key=lambda entry: _loss(entry, unit_s))
    elif not timely and all(entry.is_known for entry in opened):
        first = min(opened, key=expected_s)
        return _choice(first, refusal='no answer is expected before the deadline')
    return _choice(best)


def expected_s(candidate: WorkCandidate) -> float:
    """Return the expected delay until the answer of an upstream.

    :param candidate: upstream
    """
    queued = queued_share(candidate.in_flight, candidate.slots)
    return candidate.work_s * (1.0 + queued) + candidate.overdue_s


def _choice(
    candidate: WorkCandidate, *, is_probe: bool = False, refusal: str | None = None
) -> WorkChoice:
    delay_s = expected_s(candidate)
    wait_s = delay_s - candidate.work_s
    return WorkChoice(candidate.name, delay_s, wait_s, is_probe, refusal)


def _should_probe(request: WorkRequest, candidate: WorkCandidate) -> bool:
    return (
        candidate.idle_s > PROBE_AFTER_S
        and candidate.skipped >= PROBE_AFTER_REQUESTS
        and candidate.in_flight < 1
        and candidate.penalty == 0.0
        and candidate.work_s * PROBE_TIME_FACTOR
        < request.expires_in_s * PROBE_TIME_SHARE
    )


def _loss(candidate: WorkCandidate, unit_s: float) -> float:
    share = candidate.in_flight / max(1, candidate.slots)
    if not candidate.same_zone:
        share += OTHER_ZONE_REQUESTS / max(1, candidate.slots)
    work_s = candidate.work_s
    if work_s <= unit_s * EQUAL_FACTOR + EQUAL_DIFFERENCE_S:
        work_s = unit_s
    queued = queued_share(candidate.in_flight, candidate.slots)
    delay_s = work_s * (1.0 + queued + SPREAD_SHARE * share) + candidate.overdue_s
    return delay_s + candidate.penalty * unit_s
