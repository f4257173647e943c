"""Values of other writers that are skipped because they cannot be read."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_warning

if TYPE_CHECKING:
    from rosemaryseam.common.errors import UnreadableError
    from rosemaryseam.common.metrics import Metrics

MAX_KEPT = 200  # of the latest skipped values
MAX_KEY_CHARS = 200


class SkippedValue(NamedTuple):
    """A skipped value: its kind, why it is unreadable, and a hash of it."""

    kind: str
    reason: str
    digest: int


class SkippedValues:
    """Logs and counts each skipped value once, and keeps the latest of them.

    :param metrics: counters of the process
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._values: OrderedDict[str, SkippedValue] = OrderedDict()
        metrics.gauge('skipped_values', lambda: float(len(self._values)))

    def skip(self, kind: str, key: str, value: bytes, exc: UnreadableError) -> bool:
        """Record a value that is skipped; return whether it is a new one.

        A key whose values change often is logged once for each reason.

        :param kind: what the value should be
        :param key: where it was found
        :param value: the value itself
        :param exc: why it cannot be read
        """
        key = key[:MAX_KEY_CHARS]
        skipped = SkippedValue(kind, exc.message, hash(value))
        known = self._values.get(key)
        if known == skipped:
            return False
        self._values[key] = skipped
        self._values.move_to_end(key)
        if len(self._values) > MAX_KEPT:
            self._values.popitem(last=False)
        self._metrics.count('values_skipped', kind=kind)
        if known is None or known[:2] != skipped[:2]:
            log_warning(
                'value_skipped',
                kind=kind,
                key=key,
                reason=exc.message,
                bytes=len(value),
            )
        return True

    def forget(self, key: str) -> None:
        """Forget what was skipped under a key, as its value is readable or gone.

        :param key: where the value was found
        """
        if self._values:
            self._values.pop(key[:MAX_KEY_CHARS], None)

    def dump(self) -> dict[str, str]:
        """Return the reasons by key."""
        return {key: f'{one.kind}: {one.reason}' for key, one in self._values.items()}
