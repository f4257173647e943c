"""Keeps the quarantines in the store, for hosts that start later."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, NamedTuple

from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.decoding import decode_json, decoding, require_number
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import Write
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.policy.quarantine import MAX_QUARANTINE_S, Quarantine
from rosemaryseam.router.entrywriter import MAX_WRITES, EntryWriter

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import Item, RangeStore
    from rosemaryseam.router.crashes import CrashLedger
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.hostlink import HostLink

QUARANTINES_PREFIX = 'rosemaryseam/quarantines/'
CHECK_INTERVAL_S = 0.5  # between two comparisons with the store
SUBSTITUTE_DELAY_S = 2.0  # before other hosts write what the writer did not
RETRY_DELAY_S = 1.0  # after a failed write
EXTENSION_S = 5.0  # by which a quarantine must end later to be written again


class StoredQuarantine(NamedTuple):
    """A quarantine as it is stored; ``until`` is in seconds since 1970."""

    digest: int
    until: float
    duration_s: float


class QuarantineLog:
    """Writes the quarantines in force to the store and adopts those that it holds.

    One host writes; others do if it does not. A host that knows an answer that
    disproves a quarantine removes the entry, and all hosts end the quarantine.

    :param host: address of this host
    :param capacity: relative capacity of this host
    :param store: store that holds the entries
    :param ledger: quarantines that this host knows
    :param clock: clock of the process
    :param rng: source of the jitter before other hosts write
    :param skipped: keeps the entries that cannot be read
    """

    def __init__(
        self,
        host: str,
        capacity: float,
        store: RangeStore,
        ledger: CrashLedger,
        clock: Clock,
        rng: random.Random,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._clock = clock
        self._skipped = skipped or SkippedValues(Metrics())
        self._writer = EntryWriter(
            host, capacity, QUARANTINES_PREFIX, SUBSTITUTE_DELAY_S, clock, rng
        )
        self._stored: dict[str, StoredQuarantine] = {}
        self._retry_at = -math.inf
        self._changed = Event()

    def connect(self, link: HostLink) -> None:
        """Set the link that knows the other hosts.

        :param link: link to the other hosts
        """
        self._writer.connect(link)

    def apply_items(self, others: OtherItems) -> None:
        """Apply the entries in the store, or changes of them.

        :param others: items of the store, among them the entries
        """
        if others.complete:
            self._stored.clear()
        for item in others.items:
            if item.key.startswith(QUARANTINES_PREFIX):
                self._apply_item(item)
                self._changed.set()

    def step(self) -> None:
        """Wait for a change or a while, and bring the entries up to date."""
        self._changed.wait(CHECK_INTERVAL_S)
        self._changed.clear()
        missing = self._missing()
        written = {_key(one.digest) for one in missing}
        disproved, over = self._outdated(written)
        if not self._writer.may_write(differs=bool(missing or over)):
            missing, over = [], []
        is_due = self._clock.monotonic() >= self._retry_at
        if is_due and (missing or disproved or over):
            self._write(missing[:MAX_WRITES], [*disproved, *over][:MAX_WRITES])

    def _apply_item(self, item: Item) -> None:
        known = self._stored.pop(item.key, None)
        if item.value is None:
            self._skipped.forget(item.key)
            # An entry that is removed before its end was disproved.
            if known is not None and known.until > self._wall_time() + EXTENSION_S:
                self._ledger.release(known.digest)
            return
        try:
            entry = _decode(item)
        except UnreadableError as exc:
            self._skipped.skip('quarantine', item.key, item.value, exc)
            return
        self._skipped.forget(item.key)
        self._stored[item.key] = entry
        self._ledger.adopt_stored(self._localize(entry))

    def _missing(self) -> list[StoredQuarantine]:
        """Return the quarantines that the store lacks, or holds with an earlier end."""
        wall_time = self._wall_time()
        missing = []
        for part in self._ledger.quarantined():
            until = wall_time + part.left_s
            stored = self._stored.get(_key(part.digest))
            if stored is None or stored.until < until - EXTENSION_S:
                missing.append(StoredQuarantine(part.digest, until, part.duration_s))
        return missing

    def _outdated(self, written: set[str]) -> tuple[list[str], list[str]]:
        """Return the keys of entries that an answer disproved, and of ended ones.

        :param written: keys of the entries that are to be written again
        """
        wall_time = self._wall_time()
        disproved, over = [], []
        for key, entry in self._stored.items():
            if key in written:
                continue
            if entry.until <= wall_time:
                over.append(key)
            elif self._ledger.is_released(entry.digest):
                disproved.append(key)
        return disproved, over

    def _write(self, missing: Iterable[StoredQuarantine], removals: list[str]) -> None:
        entries = {_key(one.digest): one for one in missing}
        writes = [Write(key, _encode(one)) for key, one in entries.items()]
        try:
            self._store.write(writes, removals)
        except PlatformError as exc:
            log_warning('cannot_write_quarantines', reason=exc.message)
            self._retry_at = self._clock.monotonic() + RETRY_DELAY_S
            return
        self._stored.update(entries)
        for key in removals:
            self._stored.pop(key, None)
        log_event('quarantines_written', added=len(entries), removed=len(removals))

    def _localize(self, entry: StoredQuarantine) -> Quarantine:
        """Return a stored quarantine with its end on this host's clock.

        Clocks of hosts differ, so that it may seem to last longer than it does.
        """
        left_s = min(entry.until - self._wall_time(), entry.duration_s)
        until = self._clock.monotonic() + left_s
        return Quarantine(entry.digest, until, entry.duration_s)

    def _wall_time(self) -> float:
        return self._clock.now().timestamp()


def _key(digest: int) -> str:
    return f'{QUARANTINES_PREFIX}{digest:016x}'


def _encode(entry: StoredQuarantine) -> bytes:
    fields = {'untilMs': int(entry.until * 1000), 'seconds': entry.duration_s}
    return json.dumps(fields).encode()


def _decode(item: Item) -> StoredQuarantine:
    with decoding('quarantine'):
        fields = decode_json(item.value)
        digest = int(item.key.removeprefix(QUARANTINES_PREFIX), 16)
        if item.key != _key(digest):
            raise UnreadableError('the key is not that of a digest')
        return StoredQuarantine(
            digest,
            require_number(fields['untilMs']) / 1000,
            require_number(fields['seconds'], MAX_QUARANTINE_S),
        )
