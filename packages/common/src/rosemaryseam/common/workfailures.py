"""Failed steps in a row of work that is repeated."""

from __future__ import annotations

from typing import NamedTuple

MAX_ERROR_CHARS = 300


class FailingWork(NamedTuple):
    """Work whose latest steps failed: their number and the latest error."""

    in_a_row: int
    error: str


class WorkFailures:
    """Counts the failed steps in a row of each repeated work."""

    def __init__(self) -> None:
        self._failing: dict[str, FailingWork] = {}

    def record_failure(self, work: str, exc: BaseException) -> FailingWork:
        """Record a failed step and return the failures so far.

        :param work: name of the work
        :param exc: error of the step
        """
        known = self._failing.get(work)
        in_a_row = known.in_a_row + 1 if known is not None else 1
        failing = FailingWork(in_a_row, describe_error(exc))
        self._failing[work] = failing
        return failing

    def record_success(self, work: str) -> int:
        """Record a step that succeeded; return the number of failures that it ended.

        :param work: name of the work
        """
        ended = self._failing.pop(work, None)
        return 0 if ended is None else ended.in_a_row

    def failing(self) -> dict[str, FailingWork]:
        """Return the work whose latest step failed."""
        return dict(self._failing)


def describe_error(exc: BaseException) -> str:
    """Return an error as one bounded line, also if its values cannot be shown.

    :param exc: the error
    """
    try:
        text = repr(exc)
    except Exception:  # such as the representation of a deeply nested value
        text = type(exc).__name__
    return text[:MAX_ERROR_CHARS]
