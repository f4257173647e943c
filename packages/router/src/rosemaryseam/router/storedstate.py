"""What hosts keep in the store for one another, beside their own entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.originlog import OriginLog
from rosemaryseam.router.origins import StreamOrigins
from rosemaryseam.router.quarantinelog import QuarantineLog
from rosemaryseam.router.softwarehistory import SoftwareHistory

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.common.skippedvalues import SkippedValues
    from rosemaryseam.router.crashes import CrashLedger
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.routes import RoutingTable
    from rosemaryseam.router.settings import RouterSettings
    from rosemaryseam.router.upstreams import Registry

MIN_STREAM_MEMORY_S = 30.0  # for what is known of the software of streams


class StoredState:
    """Origins of streams, software versions and quarantines that outlive their hosts.

    :param cfg: settings of the process
    :param store: store that holds the entries
    :param registry: registered upstreams
    :param ledger: quarantines that this host knows
    :param find_table: returns the routing table, ``None`` if there is none yet
    :param clock: clock of the process
    :param rng: source of the jitter before hosts write in place of others
    :param skipped: keeps the entries that cannot be read
    """

    def __init__(
        self,
        cfg: RouterSettings,
        store: RangeStore,
        registry: Registry,
        ledger: CrashLedger,
        find_table: Callable[[], RoutingTable | None],
        clock: Clock,
        rng: random.Random,
        skipped: SkippedValues,
    ) -> None:
        self._find_table = find_table
        self.origins = StreamOrigins(
            cfg.ip,
            clock,
            self._stream_memory_s,
            lambda service: self.software.has_several(service),
        )
        self.origin_log = OriginLog(
            cfg.ip,
            cfg.capacity,
            store,
            self._stream_memory_s,
            clock,
            self.origins.adopt,
            skipped,
        )
        self.software = SoftwareHistory(
            cfg.ip,
            cfg.capacity,
            store,
            registry,
            find_table,
            self._stream_memory_s,
            clock,
            rng,
            skipped,
        )
        self.quarantine_log = QuarantineLog(
            cfg.ip, cfg.capacity, store, ledger, clock, rng, skipped
        )

    def connect(self, link: HostLink) -> None:
        """Set the link to the other hosts.

        :param link: link that sends messages to them
        """
        self.origins.connect(link, self.origin_log.send)
        self.origin_log.connect(link)
        self.software.connect(link, self._on_versions_changed)
        self.quarantine_log.connect(link)

    def work(self) -> dict[str, Callable[[], None]]:
        """Return the steps that bring the entries up to date, by name."""
        return {
            'software': self.software.step,
            'origin_log': self.origin_log.step,
            'quarantine_log': self.quarantine_log.step,
        }

    def readers(self) -> dict[str, Callable[[OtherItems], None]]:
        """Return what applies the entries in the store, or changes of them, by name."""
        return {
            'software_entries': self.software.apply_items,
            'origin_entries': self.origin_log.apply_items,
            'quarantine_entries': self.quarantine_log.apply_items,
        }

    def _stream_memory_s(self) -> float:
        """Return for how long streams that ended here may be taken up elsewhere."""
        table = self._find_table()
        longest_s = table.longest_resumable_s if table is not None else 0.0
        return max(MIN_STREAM_MEMORY_S, 2 * longest_s)

    def _on_versions_changed(self) -> None:
        table = self._find_table()
        services = table.services if table is not None else ()
        self.origin_log.set_needed(
            needed=any(self.software.has_several(service) for service in services)
        )
        self.origins.versions_changed()
