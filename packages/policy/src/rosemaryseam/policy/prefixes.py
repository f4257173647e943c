"""Estimates of the prompt parts that engines hold in their prefix caches."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

CACHE_SHARE = 0.9  # of an engine's memory that is assumed to hold cached parts
MAX_TRACKED_PARTS = 20_000  # parts whose last use is kept
PART_REUSE_WINDOW_S = 8.0  # prefilling a part unused for longer counts as no loss
ENGINE_REUSE_S = 1.5  # an engine gets about the fleet's uses of a part in this time
RATE_AVERAGING_S = 5.0  # time constant of a part's rate of uses
MIN_GAP_S = 0.001  # lower bound on the time between two uses

Part = tuple[int, int]  # digest and number of tokens


class _CachedPart(NamedTuple):
    """Describes a part in an engine's memory and the time at which it is prefilled."""

    tokens: int
    ready_at: float


class EngineCache:
    """Estimates which parts an engine holds, from the prompts sent to it.

    The least recently used parts are evicted.

    :param capacity: size of the engine's memory in tokens
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CACHE_SHARE)
        self._parts: OrderedDict[int, _CachedPart] = OrderedDict()
        self._total_tokens = 0

    def cached_tokens(self, parts: Sequence[Part]) -> int:
        """Return how many leading tokens of a prompt the engine need not prefill.

        Parts that are still being prefilled count, because the engine prefills prompts
        in order.

        :param parts: parts of the prompt in order
        """
        return self._leading_tokens(parts, math.inf)

    def ready_tokens(self, parts: Sequence[Part], now: float) -> int:
        """Return how many leading tokens of a prompt other engines can fetch now.

        :param parts: parts of the prompt in order
        :param now: seconds on the monotonic clock
        """
        return self._leading_tokens(parts, now)

    def touch(self, parts: Sequence[Part], in_use: int, ready_at: float) -> None:
        """Record that the engine prefills a prompt.

        :param parts: parts of the prompt in order
        :param in_use: tokens of the engine's memory that cannot be evicted
        :param ready_at: monotonic time at which the parts will be prefilled
        """
        for digest, tokens in reversed(parts):
            known = self._parts.pop(digest, None)
            if known is None:
                self._total_tokens += tokens
                self._parts[digest] = _CachedPart(tokens, ready_at)
            else:
                self._parts[digest] = known
        while self._parts and self._total_tokens > max(0, self._capacity - in_use):
            _, evicted = self._parts.popitem(last=False)
            self._total_tokens -= evicted.tokens

    def _leading_tokens(self, parts: Sequence[Part], ready_by: float) -> int:
        total = 0
        for digest, tokens in parts:
            part = self._parts.get(digest)
            if part is None or part.ready_at > ready_by:
                break
            total += tokens
        return total


class _PartUse(NamedTuple):
    """Describes the last use of a part and its rate of uses."""

    used_at: float
    per_s: float


class PartUses:
    """Tracks the last use and the rate of uses of each part in the whole fleet."""

    def __init__(self) -> None:
        self._uses: OrderedDict[int, _PartUse] = OrderedDict()

    def touch(self, parts: Sequence[Part], now: float) -> None:
        """Record a use of the parts of a prompt.

        :param parts: parts of the prompt in order
        :param now: seconds on the monotonic clock
        """
        for digest, _ in parts:
            last = self._uses.pop(digest, None)
            use = _PartUse(now, 0.0) if last is None else _after_use(last, now)
            self._uses[digest] = use
        while len(self._uses) > MAX_TRACKED_PARTS:
            self._uses.popitem(last=False)

    def reprefill_cost(self, parts: Sequence[Part], cached: int, now: float) -> float:
        """Return how many tokens one more engine would prefill redundantly.

        A frequently used part is prefilled once and then used many times on the engine,
        so its tokens are divided by the expected number of uses.

        :param parts: parts of the prompt in order
        :param cached: leading tokens that need no prefill
        :param now: seconds on the monotonic clock
        """
        total = 0.0
        position = 0
        for digest, tokens in parts:
            position += tokens
            use = self._uses.get(digest)
            if (
                position <= cached
                or use is None
                or use.used_at < now - PART_REUSE_WINDOW_S
            ):
                continue
            total += tokens / (1.0 + use.per_s * ENGINE_REUSE_S)
        return total


def _after_use(last: _PartUse, now: float) -> _PartUse:
    """Return a part's record after one more use, with an averaged rate."""
    gap = max(MIN_GAP_S, now - last.used_at)
    weight = min(1.0, gap / RATE_AVERAGING_S)
    rate = last.per_s + weight * (1.0 / gap - last.per_s)
    return _PartUse(max(now, last.used_at), rate)
