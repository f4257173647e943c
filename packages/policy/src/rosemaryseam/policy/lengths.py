"""Expected output lengths, learnt from calls that ended."""

from __future__ import annotations

from collections import deque

KEPT_LENGTHS = 200  # the latest calls that an expectation rests on
MIN_LENGTHS = 5  # below which the next wider group decides


class LengthPredictor:
    """Keeps recent output lengths by class and workspace, by class, and in all."""

    def __init__(self) -> None:
        self._lengths: dict[tuple[str, ...], deque[int]] = {}

    def record(self, request_class: str, workspace: str, length: int) -> None:
        """Learn from a call that ended whole.

        :param request_class: of the request
        :param workspace: of the caller
        :param length: generated tokens
        """
        for group in ((request_class, workspace), (request_class,), ()):
            kept = self._lengths.setdefault(group, deque(maxlen=KEPT_LENGTHS))
            kept.append(length)

    def mean(self, request_class: str, workspace: str) -> float | None:
        """Return the mean length to expect, or ``None`` before any call ended.

        :param request_class: of the request
        :param workspace: of the caller
        """
        for group in ((request_class, workspace), (request_class,)):
            kept = self._lengths.get(group, ())
            if len(kept) >= MIN_LENGTHS:
                return sum(kept) / len(kept)
        kept = self._lengths.get((), ())
        return sum(kept) / len(kept) if kept else None
