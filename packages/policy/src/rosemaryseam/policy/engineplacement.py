"""Engine selection by the least expected loss over all affected requests.

Losses are in units of request weight, as :func:`request_weight` returns it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.rendezvous import rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemaryseam.policy.engines import EngineView
    from rosemaryseam.policy.prefixes import EngineCache, Part, PartUses

RANK_WEIGHTS = (5.0, 1.5, 1.5)  # weight of a request served in target, by rank
SIZE_INDEPENDENT_SHARE = 0.3  # of the weight; the rest grows with relative work
MAX_RELATIVE_WORK = 4.0  # the weight grows no further above it
ADMISSION_LOSS_LIMITS = (math.inf, 6.0, 0.85)  # in weights of the request, by rank
LARGE_LIMIT_GROWTH = 0.3  # of the limit, per unit of relative work above 1
MAX_LIMIT_WORK = 3.0  # relative work above which the limit grows no further
LATE_LOSS_SHARE = 0.9  # of its weight that a late answer loses
REPREFILL_LOSS_PER_TOKEN = 0.00024  # prefilling a part that another engine holds
FETCH_LOSS_PER_TOKEN = 0.00003  # copying a cached token between engines
FETCH_SETUP_S = 0.01
FETCH_S_PER_TOKEN = 0.000001
MIN_FETCH_TOKENS = 256  # prefilling fewer is faster than fetching them
FIRST_EVENT_SAFETY = 0.75  # of the time left; estimates err by about a third
BUSY_PERIOD_MARGIN = 1.5  # factor on the expected length of a prefill busy period
PAUSE_RISK_SLOPE = 20.0  # slope of the risk that a pause exceeds its limit
STREAM_TURNOVER_S = 1.0  # time in which new streams replace those of an engine
NO_RISK_SHARE = 0.6  # of a limit, below which the risk is neglected
RISK_SLOPE = 12.0  # steepness of the risk around a limit
SPREAD_LOSS = 1.6  # weights lost by a stream where no other has pauses as short
SPREAD_HALVING_STREAMS = 8.0  # streams with pauses as short that halve this loss
STALL_LOSS_SHARE = 0.3  # of its weight that a stream loses under constant prefill
WAIT_LOSS_SHARE = 0.2  # of its weight that a request loses by a wait up to its target
COMPLETION_SAFETY = 0.7  # of the time until expiry; output lengths are often far off
CROSS_ZONE_LOSS_PER_BYTE = 0.000002  # traffic between zones is charged for
MEMORY_SHARE = 0.8  # of an engine's memory that running requests may fill
AFFINITY_ORDER_LOSS = 0.002  # per position; hosts then agree for a new session
CROWDING_LOSS = 0.6  # beyond the number of requests at which throughput drops
PROBE_AFTER_S = 5.0  # without a request while others get them, an engine is tried
PROBE_AFTER_REQUESTS = 20  # that others got meanwhile
PROBE_TIME_SHARE = 0.4  # of the time until the target that a trial may take
PROBE_TIME_FACTOR = 2.5  # on the estimates; the engine may have become slower
MAX_GAP_S = 2.0  # after which callers leave a stream
MEMORY_FULL_LOSS = 5.0  # an engine without free memory preempts a request


class PlacementRequest(NamedTuple):
    """Describes a request to place on an engine.

    ``relative_work`` is its work divided by the mean of its route.
    ``headroom_tokens`` is the number of tokens by which its prompt is shorter than the
    largest ones of its route. ``allowance`` is a factor on the loss at which it is
    refused, usually 1. ``due_in_s`` is the time until the target for the first event,
    ``expires_in_s`` the time until the timeout of its caller ends. ``prompt_tokens``
    counts the whole prompt, ``body_bytes`` the bytes sent to the engine. ``is_begun``
    is true if its caller has a part of the answer.
    """

    rank: int
    relative_work: float
    headroom_tokens: int
    allowance: float
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    pause_s: float | None
    due_in_s: float
    expires_in_s: float
    body_bytes: int
    is_begun: bool = False


class EngineCandidate(NamedTuple):
    """Describes an engine on which a request may be placed.

    ``affinity_order`` is its place in the session's order of preference, 0 first.
    ``shares_cache`` is true if cached parts can be copied from and to other engines.
    """

    name: str
    view: EngineView
    cache: EngineCache
    same_zone: bool
    affinity_order: int
    penalty: float
    shares_cache: bool


class Losses(NamedTuple):
    """Breaks the expected loss of a placement down by cause.

    ``late``: a late first event of the request itself; ``unfinished``: its answer does
    not end in time; ``cache``: tokens prefilled again or fetched; ``pauses``: longer
    pauses in streams; ``endings``: other answers that do not end in time;
    ``capacity``: a lack of memory, or more requests than
    the engine runs well; ``other``: zones, failures and affinity.
    """

    late: float
    unfinished: float
    cache: float
    pauses: float
    endings: float
    capacity: float
    other: float


class EngineChoice(NamedTuple):
    """Describes a chosen engine and the expected loss of the placement.

    ``loss`` is the sum of ``losses``. ``headroom_loss`` is the additional loss by
    lateness if the prompt were among the largest of its route.
    """

    name: str
    loss: float
    losses: Losses
    headroom_loss: float
    prefill_tokens: int
    cached_tokens: int
    fetch_from: str | None
    fetch_tokens: int
    first_event_s: float
    is_probe: bool = False


class CacheSource(NamedTuple):
    """Describes an engine from which the start of a prompt can be fetched."""

    name: str
    tokens: int


def request_weight(rank: int, relative_work: float = 1.0) -> float:
    """Return the weight of a request that is served in target.

    :param rank: priority rank, 0 is the most urgent
    :param relative_work: work of the request divided by the mean of its route
    """
    weight = RANK_WEIGHTS[min(rank, len(RANK_WEIGHTS) - 1)]
    return weight * (
        SIZE_INDEPENDENT_SHARE
        + (1.0 - SIZE_INDEPENDENT_SHARE) * min(relative_work, MAX_RELATIVE_WORK)
    )


def should_admit(request: PlacementRequest, choice: EngineChoice) -> bool:
    """Return whether the loss of placing a request is within its limit.

    Requests are refused before engines become so busy that the largest requests of
    their route would be late, and the limit is higher for large requests. Otherwise
    short requests would use up all remaining time, and callers with long prompts would
    not be served.

    An answer that has begun is not refused if it can go on in time, as its caller would
    lose the part that it has.

    :param request: request to place
    :param choice: best engine for the request
    """
    if request.is_begun and _goes_on_in_time(choice):
        return True
    rank = min(request.rank, len(ADMISSION_LOSS_LIMITS) - 1)
    beyond = max(0.0, min(MAX_LIMIT_WORK, request.relative_work) - 1.0)
    share = ADMISSION_LOSS_LIMITS[rank] * (1.0 + LARGE_LIMIT_GROWTH * beyond)
    limit = (
        request.allowance * share * request_weight(request.rank, request.relative_work)
    )
    return choice.loss + choice.headroom_loss <= limit


def _goes_on_in_time(choice: EngineChoice) -> bool:
    has_memory = choice.losses.capacity < MEMORY_FULL_LOSS / 2
    return has_memory and choice.first_event_s <= MAX_GAP_S * FIRST_EVENT_SAFETY


def may_probe(
    request: PlacementRequest, choice: EngineChoice, idle_s: float, skipped: int
) -> bool:
    """Return whether a request should try an engine that got nothing for a while.

    :param request: request to place
    :param choice: placement on that engine
    :param idle_s: time since the engine got a request
    :param skipped: number of requests that other engines got since
    """
    return (
        idle_s > PROBE_AFTER_S
        and skipped >= PROBE_AFTER_REQUESTS
        and request.relative_work <= 1.0
        and choice.first_event_s * PROBE_TIME_FACTOR
        < request.due_in_s * PROBE_TIME_SHARE
        and should_admit(request, choice)
    )


def choose_engine(
    request: PlacementRequest,
    candidates: Iterable[EngineCandidate],
    uses: PartUses,
    now: float,
) -> EngineChoice | None:
    """Return the engine with the least expected loss, or ``None`` without engines.

    :param request: request to place
    :param candidates: engines on which it may be placed
    :param uses: recent uses of prompt parts in the fleet
    :param now: seconds on the monotonic clock
    """
    engines = list(candidates)
    cached = {entry.name: entry.cache.cached_tokens(request.parts) for entry in engines}
    source = _best_cache_source(request, engines, now)
    shares = [entry.view.prefill_share(now) for entry in engines]
    mean_prefill_share = sum(shares) / len(shares) if shares else 0.0
    best: EngineChoice | None = None
    for candidate in engines:
        own = cached[candidate.name]
        choice = _evaluate(
            request, candidate, own, source, uses, mean_prefill_share, now
        )
        if best is None or choice.loss < best.loss:
            best = choice
    return best


def _best_cache_source(
    request: PlacementRequest, engines: Sequence[EngineCandidate], now: float
) -> CacheSource | None:
    """Return the engine that holds the longest prefix ready to be fetched."""
    best: CacheSource | None = None
    for entry in engines:
        tokens = entry.cache.ready_tokens(request.parts, now)
        if entry.shares_cache and tokens > (best.tokens if best else 0):
            best = CacheSource(entry.name, tokens)
    return best


def _evaluate(
    request: PlacementRequest,
    candidate: EngineCandidate,
    own: int,
    source: CacheSource | None,
    uses: PartUses,
    mean_prefill_share: float,
    now: float,
) -> EngineChoice:
    view = candidate.view
    fetched = 0
    if source is not None and candidate.shares_cache:
        fetched = max(0, source.tokens - own)
        if fetched < MIN_FETCH_TOKENS:
            fetched = 0
    cached = own + fetched
    prefill = max(1, request.prompt_tokens - cached)
    first = view.first_event_s(prefill, request.rank, now)
    if fetched:
        first += FETCH_SETUP_S + fetched * FETCH_S_PER_TOKEN
    other = candidate.penalty + candidate.affinity_order * AFFINITY_ORDER_LOSS
    if not candidate.same_zone:
        other += request.body_bytes * CROSS_ZONE_LOSS_PER_BYTE
    reprefill = uses.reprefill_cost(request.parts[:-1], cached, now)
    losses = Losses(
        late=_lateness_loss(request, first),
        unfinished=_duration_loss(request, view, first, now),
        cache=reprefill * REPREFILL_LOSS_PER_TOKEN + fetched * FETCH_LOSS_PER_TOKEN,
        pauses=_pause_loss(request, view, prefill, mean_prefill_share, now),
        endings=_completion_loss(view, prefill, now),
        capacity=_capacity_loss(request, view),
        other=other,
    )
    fetch_from = source.name if source is not None and fetched else None
    first_of_largest = first + view.prefill_s(request.headroom_tokens)
    return EngineChoice(
        candidate.name,
        sum(losses),
        losses,
        _lateness_loss(request, first_of_largest) - losses.late,
        prefill,
        cached,
        fetch_from,
        fetched,
        first,
    )


def _lateness_loss(request: PlacementRequest, first_s: float) -> float:
    """Return the loss by a late first event; a wait within the target costs less."""
    limit = request.due_in_s * FIRST_EVENT_SAFETY
    used = min(1.0, first_s / max(limit, first_s))
    late = LATE_LOSS_SHARE * risk(first_s, limit)
    return request_weight(request.rank, request.relative_work) * (
        late + WAIT_LOSS_SHARE * used * used
    )


def _duration_loss(
    request: PlacementRequest, view: EngineView, first_s: float, now: float
) -> float:
    """Return the loss by an answer that may not end before the request expires."""
    whole_s = first_s + request.output_tokens * view.token_s(now)
    limit = request.expires_in_s * COMPLETION_SAFETY
    return request_weight(request.rank, request.relative_work) * risk(whole_s, limit)


def _pause_loss(
    request: PlacementRequest,
    view: EngineView,
    prefill: int,
    mean_prefill_share: float,
    now: float,
) -> float:
    """Return the loss of streams whose pauses the added prefill work lengthens.

    Besides the current streams, it counts those that start while prefill delays the
    engine: their number grows with the duration of the delay.
    """
    limits = view.pause_limits()
    delay_share = view.prefill_s(prefill) / STREAM_TURNOVER_S
    pause_before = view.pause_s(0, BUSY_PERIOD_MARGIN, now)
    pause_after = view.pause_s(prefill, BUSY_PERIOD_MARGIN, now)
    loss = 0.0
    for (limit, rank), count in limits.items():
        before = risk(pause_before, limit, PAUSE_RISK_SLOPE)
        after = risk(pause_after, limit, PAUSE_RISK_SLOPE)
        share = after - before + after * delay_share
        loss += count * request_weight(rank) * LATE_LOSS_SHARE * share
    if request.pause_s is not None:
        loss += _spread_loss(request, view, mean_prefill_share, now)
    return loss


def _spread_loss(
    request: PlacementRequest, view: EngineView, mean_prefill_share: float, now: float
) -> float:
    """Return the loss of placing a stream with short pauses among few of its kind.

    Such a stream keeps long prompts away from its engine, which is costly when all
    engines are busy.
    """
    if request.pause_s >= view.longest_pause_s():
        return 0.0
    stalls = STALL_LOSS_SHARE * view.prefill_share(now) ** 2
    similar = sum(
        count
        for (limit, _), count in view.pause_limits().items()
        if limit <= request.pause_s
    )
    spread = (
        SPREAD_LOSS
        * mean_prefill_share
        * mean_prefill_share
        / (1.0 + similar / SPREAD_HALVING_STREAMS)
    )
    return request_weight(request.rank, request.relative_work) * (stalls + spread)


def _completion_loss(view: EngineView, prefill: int, now: float) -> float:
    """Return the loss of requests on the engine that would not end in time."""
    token_s = view.token_s(now)
    added = view.prefill_s(prefill)
    loss = 0.0
    for completion in view.completions_at_risk(
        added, COMPLETION_SAFETY * NO_RISK_SHARE, now
    ):
        limit = max(0.0, completion.expires_in_s) * COMPLETION_SAFETY
        before = completion.tokens * token_s
        change = risk(before + added, limit) - risk(before, limit)
        loss += request_weight(completion.rank) * change
    return loss


def _capacity_loss(request: PlacementRequest, view: EngineView) -> float:
    capacity = view.capacity
    memory = view.memory_tokens + request.prompt_tokens + request.output_tokens
    loss = MEMORY_FULL_LOSS * risk(memory, capacity.cache_tokens * MEMORY_SHARE)
    if view.speed.knee < math.inf:
        loss += CROWDING_LOSS * risk(view.requests + 1, view.speed.knee)
    return loss


def risk(value: float, limit: float, slope: float = RISK_SLOPE) -> float:
    """Return the risk, from 0 to 1, that a value exceeds a limit; 0.5 at the limit.

    :param value: expected value
    :param limit: limit in the unit of the value
    :param slope: steepness of the logistic curve at the limit
    """
    if limit <= 0:
        return 1.0
    exponent = slope * (value / limit - 1.0)
    if exponent > 40:
        return 1.0
    return 1.0 / (1.0 + math.exp(-exponent))


def rank_by_affinity(key: str, names: Sequence[str]) -> dict[str, int]:
    """Return the position of each engine in the order of preference of a session.

    :param key: key of the session
    :param names: names of the engines
    """
    return {name: order for order, name in enumerate(rank_by_hash(key, names))}
