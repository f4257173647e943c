"""Learned size of the prefill chunks that a service's engines run between tokens."""

from __future__ import annotations

MAX_QUANTILE = 0.9  # of the measured sizes; most pauses contain smaller chunks
QUANTILE_STEP = 0.02  # relative change of the quantile by one measurement
MIN_MEASUREMENTS = 50  # from which on the quantile is used
MIN_BUSY_SHARE = 0.3  # of an engine's time, below which pauses rarely hold full chunks
MARGIN = 1.25  # on the quantile, since a pause beyond its limit makes an answer late
MIN_CHUNK_TOKENS = 256


class PrefillChunks:
    """Estimates how many prompt tokens engines prefill in one batch step at most.

    An event of a stream takes several steps, each of which may contain a chunk. The
    longest pauses thus tell the size of a chunk. It follows from the engines' software,
    so that all engines of a service share the estimate.

    ``tokens`` is the expected size of a chunk.

    :param default_tokens: upper bound, used until enough was measured
    """

    def __init__(self, default_tokens: int) -> None:
        self._default_tokens = default_tokens
        self._quantile = float(default_tokens)
        self._measurements = 0
        self.tokens = default_tokens

    def record_pause(
        self,
        pause_s: float,
        tokens_per_event: int,
        step_s: float,
        prefill_tokens_per_s: float,
        busy_share: float,
    ) -> None:
        """Record the longest pause between events in a short time.

        :param pause_s: the pause
        :param tokens_per_event: number of steps that an event takes
        :param step_s: duration of a step without prefill
        :param prefill_tokens_per_s: rate of prefill
        :param busy_share: share of the time that the engine spent on prefill
        """
        if busy_share < MIN_BUSY_SHARE or pause_s <= 0.0:
            return
        chunk_s = pause_s / max(1, tokens_per_event) - step_s
        size = chunk_s * prefill_tokens_per_s
        self._measurements += 1
        change = MAX_QUANTILE if size > self._quantile else MAX_QUANTILE - 1.0
        # The quantile starts at the upper bound and falls faster while it is new.
        step = max(QUANTILE_STEP, 5.0 / (self._measurements + 5.0))
        self._quantile *= 1.0 + step * change
        self._quantile = min(
            float(self._default_tokens), max(MIN_CHUNK_TOKENS, self._quantile)
        )
        if self._measurements >= MIN_MEASUREMENTS:
            expected = max(MIN_CHUNK_TOKENS, int(self._quantile * MARGIN))
            self.tokens = min(self._default_tokens, expected)
