"""The choice of an engine: least expected loss over all requests that it touches."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.rendezvous import rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemaryseam.policy.engines import EngineView
    from rosemaryseam.policy.prefixes import EngineCache, Part, PartUses

RANK_VALUES = (5.0, 1.5, 1.5)  # worth of a request in target, by rank
SIZE_FLOOR = 0.3  # of the worth that does not depend on the size
SIZE_MOST = 4.0
REFUSAL_LOSSES = (math.inf, 6.0, 0.85)  # in worths of a request, by rank
LARGE_ALLOWANCE = 0.3  # of that, borne in addition for each mean size beyond one
LARGE_MOST = 3.0  # mean sizes; no more is borne for larger ones
LATE_LOSS = 0.9  # share of its worth that a late answer loses
READ_AGAIN_PER_TOKEN = 0.00024  # price of prefilling a part that an engine holds
FETCH_PER_TOKEN = 0.00003  # price of copying a cached token between engines
FETCH_SETUP_S = 0.01
FETCH_S_PER_TOKEN = 0.000001
FETCH_LEAST_TOKENS = 256  # fewer are read faster than they are fetched
FIRST_EVENT_SAFETY = 0.75  # of the time left; expectations err by about a third
BUSY_MARGIN = 1.5  # on the expected length of a busy period of prefill
PAUSE_SLOPE = 20.0
STREAM_S = 1.0  # in which an engine's streams are replaced by new ones
NO_RISK = 0.6  # of a limit, below which the risk is taken for none
SLOPE = 12.0  # how sharply the risk grows around the safe share of a limit
OPENING_LOSS = 1.6  # worths that a stream costs where none has pauses as short
STREAMS_TOGETHER = 8.0  # streams with short pauses that halve that
STALL_LOSS = 0.3  # share of its worth that a stream loses where prefill never ends
WAIT_LOSS = 0.2  # share of its worth that a request loses by waiting up to its target
PATIENCE_SAFETY = 0.7  # of the caller's patience; output lengths are often far off
OTHER_ZONE_PER_BYTE = 0.000002  # bytes between zones cost
MEMORY_SHARE = 0.8  # of an engine's memory that running requests may fill
ORDER_LOSS = 0.002  # sends a new session where all hosts would
FULL_LOSS = 5.0  # an engine without memory preempts somebody


class PlacementRequest(NamedTuple):
    """A request to place on an engine.

    ``size`` is its work relative to the mean of its route, 1 for an ordinary one;
    ``room_tokens`` is by how much its prompt is shorter than its route's largest are,
    ``allowance`` how much more loss is borne before it is refused, mostly 1.
    ``time_left_s`` is up to the target for the first event, ``patience_s`` up to the
    time at which the caller gives up. ``prompt_tokens`` counts the whole prompt,
    ``body_bytes`` what crosses the network.
    """

    rank: int
    relative_work: float
    headroom_tokens: int
    allowance: float
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    pause_s: float | None
    time_left_s: float
    patience_s: float
    body_bytes: int


class EngineCandidate(NamedTuple):
    """An engine that may get a request; ``order`` is its affinity, 0 preferred.

    ``shares_cache`` tells that engines copy cached parts from and to it.
    """

    name: str
    view: EngineView
    cache: EngineCache
    same_zone: bool
    order: int
    penalty: float
    shares_cache: bool


class Losses(NamedTuple):
    """What a placement is expected to cost, in worths of requests.

    ``late``: the request's own late first event; ``unfinished``: its answer does not
    end in time; ``cache``: tokens read again or fetched; ``pauses`` and ``endings``:
    what other requests lose; ``capacity``: memory; ``other``: zones, failures
    and affinity.
    """

    late: float
    unfinished: float
    cache: float
    pauses: float
    endings: float
    capacity: float
    other: float


class EngineChoice(NamedTuple):
    """An engine with what decided for it; ``loss`` is the sum of ``losses``.

    ``headroom_loss`` is what its lateness would cost more if its prompt were among the
    largest of its route.
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


class CacheSource(NamedTuple):
    """An engine that holds the start of a prompt."""

    name: str
    tokens: int


def request_weight(rank: int, size: float = 1.0) -> float:
    """Return the worth of a request in target.

    :param rank: 0 is the most urgent
    :param size: its work relative to the mean of its route
    """
    base = RANK_VALUES[min(rank, len(RANK_VALUES) - 1)]
    return base * (SIZE_FLOOR + (1.0 - SIZE_FLOOR) * min(size, SIZE_MOST))


def should_admit(request: PlacementRequest, choice: EngineChoice) -> bool:
    """Return whether placing a request does more good than harm.

    Requests are refused before engines are so busy that the largest of their route
    would come late, and more is borne for large ones: short ones would otherwise take
    all of the time that is left, and callers with long prompts get nothing.

    :param request: the request
    :param choice: the best engine for it
    """
    rank = min(request.rank, len(REFUSAL_LOSSES) - 1)
    beyond = max(0.0, min(LARGE_MOST, request.relative_work) - 1.0)
    share = REFUSAL_LOSSES[rank] * (1.0 + LARGE_ALLOWANCE * beyond)
    limit = (
        request.allowance * share * request_weight(request.rank, request.relative_work)
    )
    return choice.loss + choice.headroom_loss <= limit


def choose_engine(
    request: PlacementRequest,
    candidates: Iterable[EngineCandidate],
    uses: PartUses,
    now: float,
) -> EngineChoice | None:
    """Return the engine where a request does the least harm, or ``None``.

    :param request: the request
    :param candidates: engines that may get it
    :param uses: last uses of prompt parts in the fleet
    :param now: seconds on the monotonic clock
    """
    engines = list(candidates)
    held = {entry.name: entry.cache.cached_tokens(request.parts) for entry in engines}
    holder = _best_holder(request, engines, now)
    shares = [entry.view.prefill_share(now) for entry in engines]
    load = sum(shares) / len(shares) if shares else 0.0
    best: EngineChoice | None = None
    for candidate in engines:
        own = held[candidate.name]
        choice = _weigh(request, candidate, own, holder, uses, load, now)
        if best is None or choice.loss < best.loss:
            best = choice
    return best


def _best_holder(
    request: PlacementRequest, engines: Sequence[EngineCandidate], now: float
) -> CacheSource | None:
    """Return the engine that others may fetch the start of the prompt from."""
    best: CacheSource | None = None
    for entry in engines:
        tokens = entry.cache.ready_tokens(request.parts, now)
        if entry.shares_cache and tokens > (best.tokens if best else 0):
            best = CacheSource(entry.name, tokens)
    return best


def _weigh(
    request: PlacementRequest,
    candidate: EngineCandidate,
    own: int,
    holder: CacheSource | None,
    uses: PartUses,
    load: float,
    now: float,
) -> EngineChoice:
    view = candidate.view
    fetched = 0
    if holder is not None and candidate.shares_cache:
        fetched = max(0, holder.tokens - own)
        if fetched < FETCH_LEAST_TOKENS:
            fetched = 0
    cached = own + fetched
    prefill = max(1, request.prompt_tokens - cached)
    first = view.first_event_s(prefill, request.rank, now)
    if fetched:
        first += FETCH_SETUP_S + fetched * FETCH_S_PER_TOKEN
    other = candidate.penalty + candidate.order * ORDER_LOSS
    if not candidate.same_zone:
        other += request.body_bytes * OTHER_ZONE_PER_BYTE
    again = uses.reprefill_cost(request.parts[:-1], cached, now)
    losses = Losses(
        late=_lateness_loss(request, first),
        unfinished=_duration_loss(request, view, first, now),
        cache=again * READ_AGAIN_PER_TOKEN + fetched * FETCH_PER_TOKEN,
        pauses=_pause_loss(request, view, prefill, load, now),
        endings=_ending_loss(view, prefill, now),
        capacity=_capacity_loss(request, view),
        other=other,
    )
    source = holder.name if holder is not None and fetched else None
    room = first + view.prefill_s(request.headroom_tokens)
    return EngineChoice(
        candidate.name,
        sum(losses),
        losses,
        _lateness_loss(request, room) - losses.late,
        prefill,
        cached,
        source,
        fetched,
        first,
    )


def _lateness_loss(request: PlacementRequest, first_s: float) -> float:
    """Return the loss by a late first event; waits below the target cost a little."""
    limit = request.time_left_s * FIRST_EVENT_SAFETY
    used = min(1.0, first_s / max(limit, first_s))
    late = LATE_LOSS * risk(first_s, limit)
    return request_weight(request.rank, request.relative_work) * (
        late + WAIT_LOSS * used * used
    )


def _duration_loss(
    request: PlacementRequest, view: EngineView, first_s: float, now: float
) -> float:
    """Return the loss by an answer that does not end while the caller waits."""
    whole_s = first_s + request.output_tokens * view.token_s(now)
    limit = request.patience_s * PATIENCE_SAFETY
    return request_weight(request.rank, request.relative_work) * risk(whole_s, limit)


def _pause_loss(
    request: PlacementRequest,
    view: EngineView,
    prefill: int,
    load: float,
    now: float,
) -> float:
    """Return what streams lose whose pauses the added prefill work lengthens.

    Beside the streams that are there, those lose that start while an engine stalls:
    the longer it does, the more.
    """
    limits = view.pause_limits()
    prolonged = view.prefill_s(prefill) / STREAM_S
    pause_before = view.pause_s(0, BUSY_MARGIN, now)
    pause_after = view.pause_s(prefill, BUSY_MARGIN, now)
    loss = 0.0
    for (limit, rank), count in limits.items():
        before = risk(pause_before, limit, PAUSE_SLOPE)
        after = risk(pause_after, limit, PAUSE_SLOPE)
        share = after - before + after * prolonged
        loss += count * request_weight(rank) * LATE_LOSS * share
    if request.pause_s is not None:
        loss += _spreading_loss(request, view, load, now)
    return loss


def _spreading_loss(
    request: PlacementRequest, view: EngineView, load: float, now: float
) -> float:
    """Return what a stream with short pauses costs on an engine with few of its kind.

    It keeps long prompts away from there, which is dear when all engines are busy.
    """
    if request.pause_s >= view.longest_pause_s():
        return 0.0
    stalls = STALL_LOSS * view.prefill_share(now) ** 2
    alike = sum(
        count
        for (limit, _), count in view.pause_limits().items()
        if limit <= request.pause_s
    )
    opening = OPENING_LOSS * load * load / (1.0 + alike / STREAMS_TOGETHER)
    return request_weight(request.rank, request.relative_work) * (stalls + opening)


def _ending_loss(view: EngineView, prefill: int, now: float) -> float:
    """Return what requests there lose that then do not end in time."""
    token_s = view.token_s(now)
    added = view.prefill_s(prefill)
    loss = 0.0
    for ending in view.completions_at_risk(added, PATIENCE_SAFETY * NO_RISK, now):
        limit = max(0.0, ending.left_s) * PATIENCE_SAFETY
        before = ending.tokens * token_s
        change = risk(before + added, limit) - risk(before, limit)
        loss += request_weight(ending.rank) * change
    return loss


def _capacity_loss(request: PlacementRequest, view: EngineView) -> float:
    size = view.capacity
    memory = view.memory_tokens + request.prompt_tokens + request.output_tokens
    return FULL_LOSS * risk(memory, size.cache_tokens * MEMORY_SHARE)


def risk(value: float, limit: float, slope: float = SLOPE) -> float:
    """Return the risk, 0 to 1, that a limit is passed; a half at the limit.

    :param value: what is expected
    :param limit: the limit
    :param slope: how sharply the risk grows around the limit
    """
    if limit <= 0:
        return 1.0
    exponent = slope * (value / limit - 1.0)
    if exponent > 40:
        return 1.0
    return 1.0 / (1.0 + math.exp(-exponent))


def rank_by_affinity(key: str, names: Sequence[str]) -> dict[str, int]:
    """Return the order in which engines are preferred for a new session.

    :param key: of the session
    :param names: of the engines
    """
    return {name: order for order, name in enumerate(rank_by_hash(key, names))}
