"""The configuration that this host has in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import UnreadableError

if TYPE_CHECKING:
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import Item
    from rosemaryseam.common.skippedvalues import SkippedValues
    from rosemaryseam.router.codec import StateCodec
    from rosemaryseam.router.routes import RoutingTable


class ConfigurationInForce:
    """Keeps the configuration with the highest version among all that can be read.

    :param codec: decoder of configurations
    :param metrics: counters of the process
    :param skipped: keeps the configurations that cannot be read
    """

    def __init__(
        self, codec: StateCodec, metrics: Metrics, skipped: SkippedValues
    ) -> None:
        self._codec = codec
        self._metrics = metrics
        self._skipped = skipped
        self._item: Item | None = None
        self._not_newer: bytes | None = None  # logged once
        self.table: RoutingTable | None = None

    def apply(self, item: Item) -> None:
        """Put a configuration in force if it can be read and is newer.

        :param item: item of the store; other keys and removals are ignored
        """
        if item.value is None or not self._codec.is_configuration(item.key):
            return
        try:
            table = self._codec.decode_configuration(item.value)
        except UnreadableError as exc:
            if self._skipped.skip('configuration', item.key, item.value, exc):
                log_warning(
                    'configuration_rejected', revision=item.revision, reason=exc.message
                )
                self._metrics.count('configurations_rejected')
            return
        self._skipped.forget(item.key)
        current = self.table
        if current is not None and table.version <= current.version:
            self._report_not_newer(item, table, current)
            return
        log_event(
            'configuration_in_force',
            version=table.version,
            previous=current.version if current else None,
            revision=item.revision,
            routes=len(table.routes),
        )
        self.table = table
        self._item = item

    def is_content_of(self, item: Item) -> bool:
        """Return whether an item has the content of the configuration in force.

        :param item: item of the store
        """
        return (
            self._item is not None
            and self._codec.is_configuration(item.key)
            and item.value == self._item.value
        )

    def substitute(self, items: tuple[Item, ...]) -> tuple[Item, ...]:
        """Return items with the content of the configuration in force.

        A store that was restored has an older one until the operator writes again.

        :param items: items of the store
        """
        if self._item is None:
            return items
        return tuple(
            item._replace(value=self._item.value)
            if self._codec.is_configuration(item.key)
            else item
            for item in items
        )

    def _report_not_newer(
        self, item: Item, table: RoutingTable, current: RoutingTable
    ) -> None:
        """Log a changed configuration that does not replace the one in force."""
        if self._item is None or self._not_newer == item.value:
            return
        self._not_newer = item.value
        if item.value != self._item.value:
            self._metrics.count('configurations_not_newer')
            log_warning(
                'configuration_not_newer',
                version=table.version,
                current=current.version,
                revision=item.revision,
            )
