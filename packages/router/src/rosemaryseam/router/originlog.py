"""Writes the origins of streams to the store, for when all hosts restart."""

from __future__ import annotations

import json
import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import gevent
import xxhash
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.decoding import (
    MAX_COUNT,
    decode_json,
    decoding,
    readable,
    require_count,
    require_list,
    require_object,
    require_optional_text,
    require_text,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import Write
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.policy.rendezvous import rank_by_capacity
from rosemaryseam.router.origins import Software, StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import Item, RangeStore
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.hostlink import HostLink

ORIGINS_PREFIX = 'rosemaryseam/streams/'
WRITE_INTERVAL_S = 0.4  # each write wakes all watches
RETRY_DELAY_S = 0.5  # after a failed write
RESEND_S = 1.5  # until an origin that another host should write is seen in the store
MAX_ENTRIES = 1000  # per writer, overwritten in turn
MAX_UNWRITTEN = 5000  # older origins are dropped while the store is away
MAX_REMOVALS = 32  # per call to the store
HOSTS_PER_WRITER = 200
MAX_NUMBER = MAX_COUNT // 2  # of an entry; a host that counts on stays readable


def is_origin_entry(key: str) -> bool:
    """Return whether a key of the store holds origins, which no host waits for.

    :param key: key in the store
    """
    return key.startswith(ORIGINS_PREFIX)


class OriginLog:
    """Collects the origins of many streams and writes them together.

    A few hosts write for all, as each write is a call that the fleet pays for.

    :param host: address of this host
    :param capacity: relative capacity of this host
    :param store: store that holds the entries
    :param kept_s: returns the seconds after which entries may be overwritten
    :param clock: clock of the process
    :param on_origin: called with each origin that the store holds
    :param skipped: keeps the entries that cannot be read
    """

    def __init__(
        self,
        host: str,
        capacity: float,
        store: RangeStore,
        kept_s: Callable[[], float],
        clock: Clock,
        on_origin: Callable[[StreamOrigin], None],
        skipped: SkippedValues | None = None,
    ) -> None:
        self._host = host
        self._capacity = capacity
        self._store = store
        self._kept_s = kept_s
        self._clock = clock
        self._on_origin = on_origin
        self._skipped = skipped or SkippedValues(Metrics())
        self._link: HostLink | None = None
        self._unwritten: dict[str, Software] = {}
        # Origins that another host is to write, and when they were sent there, until
        # they are seen in the store.
        self._sent: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()
        self._is_needed = False
        self._wakeup = Event()
        self._own_keys: set[str] = set()
        self._last_number = 0
        self._last_write_at = -math.inf

    def connect(self, link: HostLink) -> None:
        """Set the link to the other hosts.

        :param link: link to the other hosts
        """
        self._link = link

    def send(self, origins: Iterable[StreamOrigin]) -> None:
        """Have origins written by the host that writes for this one.

        :param origins: origins of streams that this host relays
        """
        writer = self._writer()
        for origin in origins:
            if writer == self._host or self._link is None:
                self.add(origin)
            else:
                self._link.send_origin_to_write(writer, origin)
                self._sent[origin.request_id] = (origin, self._clock.monotonic())
        while len(self._sent) > MAX_UNWRITTEN:
            self._sent.popitem(last=False)
        if self._sent:
            self._wakeup.set()

    def add(self, origin: StreamOrigin) -> None:
        """Have an origin written by this host.

        :param origin: origin that this host or another one recorded
        """
        if origin.software is not None and len(self._unwritten) < MAX_UNWRITTEN:
            self._unwritten[origin.request_id] = origin.software
            self._wakeup.set()

    def set_needed(self, *, needed: bool) -> None:
        """Say whether origins are written now; if not, old entries are removed.

        :param needed: whether streams of several versions may be taken up
        """
        self._is_needed = needed
        self._wakeup.set()

    def apply_items(self, others: OtherItems) -> None:
        """Read the entries in the store, or changes of them.

        :param others: items of the store, among them the entries
        """
        for item in others.items:
            if is_origin_entry(item.key):
                self._apply_item(item)

    def step(self) -> None:
        """Wait for origins, and write those that have come together."""
        self._wakeup.wait(RESEND_S if self._sent else None)
        self._wakeup.clear()
        self._take_back_unwritten()
        if not self._unwritten and (self._is_needed or not self._own_keys):
            return
        due_at = self._last_write_at + WRITE_INTERVAL_S
        gevent.sleep(max(0.0, due_at - self._clock.monotonic()))
        self._last_write_at = self._clock.monotonic()
        try:
            if self._unwritten:
                self._write()
            elif self._own_keys and not self._is_needed:
                self._remove_entries()
        except PlatformError as exc:
            log_warning('cannot_write_origins', reason=exc.message)
            gevent.sleep(RETRY_DELAY_S)
            self._wakeup.set()

    def _take_back_unwritten(self) -> None:
        """Write here what another host should have written and did not."""
        sent_before = self._clock.monotonic() - RESEND_S
        while self._sent:
            origin, sent_at = next(iter(self._sent.values()))
            if sent_at > sent_before:
                return
            self._sent.popitem(last=False)
            self.add(origin)

    def _write(self) -> None:
        batch = dict(self._unwritten)
        self._last_number += 1
        entries = min(MAX_ENTRIES, math.ceil(self._kept_s() / WRITE_INTERVAL_S))
        key = f'{ORIGINS_PREFIX}{self._host}/{self._last_number % entries}'
        value = json.dumps(_encode(self._last_number, batch)).encode()
        self._own_keys.add(key)
        self._store.write((Write(key, value),))
        for request_id in batch:
            self._unwritten.pop(request_id, None)
        log_event('origins_written', number=self._last_number, streams=len(batch))

    def _remove_entries(self) -> None:
        removals = sorted(self._own_keys)[:MAX_REMOVALS]
        self._store.write((), removals)
        self._own_keys.difference_update(removals)
        self._wakeup.set()

    def _apply_item(self, item: Item) -> None:
        own = item.key.startswith(f'{ORIGINS_PREFIX}{self._host}/')
        if item.value is None:
            self._own_keys.discard(item.key)
            self._skipped.forget(item.key)
            return
        unreadable: list[UnreadableError] = []
        try:
            number, origins = _decode(item.value, unreadable.append)
        except UnreadableError as exc:
            self._skipped.skip('stream origins', item.key, item.value, exc)
            return
        if unreadable:
            self._skipped.skip('stream origin', item.key, item.value, unreadable[0])
        else:
            self._skipped.forget(item.key)
        if own:
            self._own_keys.add(item.key)
            self._last_number = max(self._last_number, number)
        for origin in origins:
            self._sent.pop(origin.request_id, None)
            self._on_origin(origin)

    def _writer(self) -> str:
        others = self._link.known_hosts() if self._link is not None else {}
        hosts = {**others, self._host: self._capacity}
        count = math.ceil(len(hosts) / HOSTS_PER_WRITER)
        index = xxhash.xxh3_64_intdigest(self._host.encode()) % count
        return rank_by_capacity(ORIGINS_PREFIX, hosts)[index]


def _encode(number: int, batch: dict[str, Software]) -> dict[str, Any]:
    """Return an entry: its number, and request ids by service and version."""
    streams: dict[str, dict[str, list[str]]] = {}
    for request_id, (service, version) in batch.items():
        streams.setdefault(service, {}).setdefault(version, []).append(request_id)
    return {'number': number, 'streams': streams}


def _decode(
    value: bytes, on_unreadable: Callable[[UnreadableError], None]
) -> tuple[int, list[StreamOrigin]]:
    """Return the number of an entry, and its origins without those unreadable."""
    with decoding('stream origins'):
        entry = decode_json(value)
        streams = (
            (service, version, request_id)
            for service, by_version in require_object(entry['streams']).items()
            for version, request_ids in require_object(by_version).items()
            for request_id in require_list(request_ids)
        )
        origins = list(readable(streams, _decode_origin, on_unreadable))
        return require_count(entry['number'], most=MAX_NUMBER), origins


def _decode_origin(stream: tuple[str, str, Any]) -> StreamOrigin:
    service, version, request_id = stream
    if not isinstance(request_id, str):
        raise UnreadableError('the id of a request is no text')
    software = Software(require_text(service), require_optional_text(version))
    return StreamOrigin(request_id, software)
