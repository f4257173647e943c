"""Which engines hold which parts of prompts."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

CACHE_SHARE = 0.9  # of an engine's memory that counts as its cache
MAX_PARTS = 20_000  # whose last use is remembered
PART_REUSE_WINDOW_S = 8.0  # a part unused for longer is no loss to read
REUSE_S = 1.5  # of uses in the fleet that fall on one engine, roughly
RATE_MEMORY_S = 5.0
MIN_GAP_S = 0.001

Part = tuple[int, int]  # digest and tokens


class _Held(NamedTuple):
    """A part in an engine's memory, and when it has been read."""

    tokens: int
    ready_at: float


class EngineCache:
    """The parts that an engine holds, as far as sends tell; the oldest are evicted.

    :param capacity: tokens
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CACHE_SHARE)
        self._parts: OrderedDict[int, _Held] = OrderedDict()
        self._held = 0

    def cached_tokens(self, parts: Sequence[Part]) -> int:
        """Return how many leading tokens of a prompt the engine need not read.

        Parts that it is still reading count: it reads prompts in order.

        :param parts: the prompt's parts in order
        """
        return self._leading(parts, math.inf)

    def ready_tokens(self, parts: Sequence[Part], now: float) -> int:
        """Return how many leading tokens of a prompt others can fetch.

        :param parts: the prompt's parts in order
        :param now: seconds on the monotonic clock
        """
        return self._leading(parts, now)

    def touch(self, parts: Sequence[Part], in_use: int, ready_at: float) -> None:
        """Note that the engine reads a prompt.

        :param parts: the prompt's parts in order
        :param in_use: tokens of the engine's memory that cannot be evicted
        :param ready_at: monotonic time at which it will have read them
        """
        for digest, tokens in reversed(parts):
            known = self._parts.pop(digest, None)
            if known is None:
                self._held += tokens
                self._parts[digest] = _Held(tokens, ready_at)
            else:
                self._parts[digest] = known
        while self._parts and self._held > max(0, self._capacity - in_use):
            _, held = self._parts.popitem(last=False)
            self._held -= held.tokens

    def _leading(self, parts: Sequence[Part], ready_by: float) -> int:
        total = 0
        for digest, tokens in parts:
            held = self._parts.get(digest)
            if held is None or held.ready_at > ready_by:
                break
            total += tokens
        return total


class _Use(NamedTuple):
    """The last use of a part and its rate of uses."""

    at: float
    per_s: float


class PartUses:
    """How often and when parts were last used anywhere."""

    def __init__(self) -> None:
        self._uses: OrderedDict[int, _Use] = OrderedDict()

    def touch(self, parts: Sequence[Part], now: float) -> None:
        """Note that parts are read.

        :param parts: the prompt's parts in order
        :param now: seconds on the monotonic clock
        """
        for digest, _ in parts:
            last = self._uses.pop(digest, None)
            use = _Use(now, 0.0) if last is None else _next(last, now)
            self._uses[digest] = use
        while len(self._uses) > MAX_PARTS:
            self._uses.popitem(last=False)

    def reprefill_cost(self, parts: Sequence[Part], cached: int, now: float) -> float:
        """Return how many tokens would be read in vain on one more engine.

        A part that is used often is read once and then used there many times, so its
        tokens are divided by the uses to come.

        :param parts: the prompt's parts in order
        :param cached: leading tokens that need no reading
        :param now: seconds on the monotonic clock
        """
        total = 0.0
        position = 0
        for digest, tokens in parts:
            position += tokens
            use = self._uses.get(digest)
            if position <= cached or use is None or use.at < now - PART_REUSE_WINDOW_S:
                continue
            total += tokens / (1.0 + use.per_s * REUSE_S)
        return total


def _next(last: _Use, now: float) -> _Use:
    """Return a part's uses after one more; the rate follows with a delay."""
    gap = max(MIN_GAP_S, now - last.at)
    weight = min(1.0, gap / RATE_MEMORY_S)
    rate = last.per_s + weight * (1.0 / gap - last.per_s)
    return _Use(max(now, last.at), rate)
