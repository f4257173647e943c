"""Expected output lengths, estimated from completed calls."""

from __future__ import annotations

from collections import deque

HISTORY_LENGTH = 200  # most recent calls that a mean covers
MIN_SAMPLES = 5  # with fewer, the next wider group is used


class LengthPredictor:
    """Averages recent output lengths by class and workspace, by class, and overall."""

    def __init__(self) -> None:
        self._lengths: dict[tuple[str, ...], deque[int]] = {}

    def record(self, request_class: str, workspace: str, length: int) -> None:
        """Record the output length of a call that ended with a complete answer.

        :param request_class: request class of the call
        :param workspace: workspace of the caller
        :param length: number of generated tokens
        """
        for group in ((request_class, workspace), (request_class,), ()):
            kept = self._lengths.setdefault(group, deque(maxlen=HISTORY_LENGTH))
            kept.append(length)

    def mean(self, request_class: str, workspace: str) -> float | None:
        """Return the expected length in tokens, or ``None`` before any call completed.

        :param request_class: class of the request
        :param workspace: workspace of the caller
        """
        for group in ((request_class, workspace), (request_class,)):
            kept = self._lengths.get(group, ())
            if len(kept) >= MIN_SAMPLES:
                return sum(kept) / len(kept)
        kept = self._lengths.get((), ())
        return sum(kept) / len(kept) if kept else None
