"""Learns from other hosts of a configuration that the store does not have."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import gevent

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.decoding import (
    decoding,
    require_count,
    require_flag,
    require_object,
)
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.router.mirror import read_mirror

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import Item
    from rosemaryseam.router.feed import StateFeed
    from rosemaryseam.router.hostlink import HostLink

MESSAGE_KIND = 'table'
MAX_HOSTS_ASKED = 8
ANSWER_TIMEOUT_S = 0.1
READ_TIMEOUT_S = 0.5
SETTLE_S = 2.0  # without answers; hosts that lost their entries register by then


class TableVersion(NamedTuple):
    """The version that a host has in force, 0 for none.

    With ``asks``, the receiver is to tell its own.
    """

    version: int
    asks: bool


class RestoredTable:
    """Asks other hosts for a newer configuration while the store may lack it.

    A store that was restored from a copy has an older configuration until the operator
    writes again, and a store may hold one that is invalid. Hosts that started before
    know the configuration that was in force.

    :param feed: feed of this host
    :param link: link to the other hosts
    :param port: port of the other hosts' mirrors
    :param clock: clock of the process
    :param rng: source of the choice of hosts
    """

    def __init__(
        self,
        feed: StateFeed,
        link: HostLink,
        port: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._feed = feed
        self._link = link
        self._port = port
        self._clock = clock
        self._rng = rng
        self._told: dict[str, int] = {}
        link.subscribe(MESSAGE_KIND, self._handle)

    def step(self) -> None:
        """Wait until the configuration is uncertain, and ask until it is not."""
        self._feed.uncertain.wait()
        self._told.clear()
        until = self._clock.monotonic() + SETTLE_S
        while self._feed.uncertain.is_set():
            asked = self._ask()
            gevent.sleep(ANSWER_TIMEOUT_S)
            self._adopt_newest()
            if self._feed.table is None:
                continue  # nothing can be served without one
            if asked and all(host in self._told for host in asked):
                self._feed.settle('other hosts told')
            elif self._clock.monotonic() >= until:
                self._feed.settle('not all hosts told in time')

    def _ask(self) -> Iterable[str]:
        hosts = sorted(self._link.known_hosts())
        asked = self._rng.sample(hosts, min(MAX_HOSTS_ASKED, len(hosts)))
        for host in asked:
            self._send(host, asks=True)
        return asked

    def _send(self, host: str, *, asks: bool) -> None:
        body = TableVersion(self._version(), asks)._asdict()
        self._link.send_message(host, MESSAGE_KIND, body)

    def _version(self) -> int:
        return self._feed.table.version if self._feed.table is not None else 0

    def _handle(self, host: str, body: Any) -> None:
        with decoding('version of a table'):
            fields = require_object(body)
            told = TableVersion(
                require_count(fields['version']), require_flag(fields['asks'])
            )
        if told.asks:
            self._send(host, asks=False)
        self._told[host] = told.version

    def _adopt_newest(self) -> None:
        """Read the newest configuration from a host that has it and can be read."""
        for host in sorted(self._told, key=lambda one: self._told[one], reverse=True):
            if self._told[host] <= self._version():
                return
            try:
                item = self._read_configuration(host)
            except PlatformError as exc:
                log_event('table_not_read', peer=host, reason=exc.message)
                continue
            if item is not None:
                self._feed.adopt_configuration(item, host)

    def _read_configuration(self, host: str) -> Item | None:
        address = Address(host, self._port)
        items = read_mirror(address, READ_TIMEOUT_S).items
        return next((one for one in items if self._feed.is_configuration(one)), None)
