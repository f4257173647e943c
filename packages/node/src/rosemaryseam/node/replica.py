"""The catalogue replica: the highest accepted revision, which never goes back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from loguru import logger

from rosemaryseam.common.errors import CatalogueError, PlatformError
from rosemaryseam.common.revisions import CATALOGUE_KEY, decode_revision
from rosemaryseam.node.dispatcher import CatalogueChanged
from rosemaryseam.node.member import MembershipView
from rosemaryseam.node.messages import CatalogueOffer, CatalogueWant, Received
from rosemaryseam.node.tasks import Task
from rosemaryseam.policy.rendezvous import rank_by_hash

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemaryseam.common.catalogue import Catalogue
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.keyvalue import KeyValueStore
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.settings import Timing
    from rosemaryseam.node.transport import Transport

WATCHERS = 2  # hosts that keep a watch on the catalogue's key
POLL_JITTER = 0.5  # share of the poll interval
RETRY_S = 0.5


class RevisionOffer(NamedTuple):
    """A catalogue revision that came from the service or from an operator."""

    data: bytes
    source: str


class ReplicaTask(Task):
    """Owns the catalogue in force on this host.

    :param host: this host
    :param store: the platform's key-value service
    :param transport: delivers messages to the peers
    :param publish: takes each :class:`.dispatcher.CatalogueChanged`
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        host: str,
        store: KeyValueStore,
        transport: Transport,
        rng: random.Random,
        publish: Callable[[CatalogueChanged], None],
    ) -> None:
        super().__init__(clock, metrics, timing.heartbeat_s)
        self._timing = timing
        self._host = host
        self._store = store
        self._transport = transport
        self._rng = rng
        self._publish = publish
        self._data = b''
        self._view: MembershipView | None = None
        self._invalid: str | None = None
        self._fetcher: gevent.Greenlet | None = None
        self.revision = 0
        self.catalogue: Catalogue | None = None

    @property
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """What to call for each type of message."""
        return {
            Received: self._on_received,
            MembershipView: self._on_view,
            RevisionOffer: self.offer,
        }

    def start(self) -> None:
        """Start the task and the greenlet that reads the service."""
        super().start()
        self._fetcher = gevent.spawn(self._fetch_loop)

    def stop(self) -> None:
        """Stop both greenlets."""
        super().stop()
        if self._fetcher is not None:
            self._fetcher.kill()

    def tick(self) -> None:
        """Ask a peer that holds a higher revision for it."""
        if self._view is None:
            return
        ahead = [
            peer
            for peer in self._view.peers
            if peer.reachable and peer.revision > self.revision
        ]
        if ahead:
            peer = self._rng.choice(ahead)
            self._transport.send(peer.host, CatalogueWant(self.revision))

    def dump(self) -> dict[str, Any]:
        """Return the revision in force and what was last found invalid."""
        return {'revision': self.revision, 'invalid': self._invalid}

    def offer(self, offered: RevisionOffer) -> bool:
        """Take over a revision if it is valid and higher than the present one.

        :param offered: the revision and where it came from
        :returns: whether it came into force
        """
        try:
            revision, catalogue = decode_revision(offered.data)
        except CatalogueError as exc:
            self._reject(offered.source, exc)
            return False
        if revision.revision <= self.revision:
            if revision.revision < self.revision:
                self.metrics.count('catalogue_stale', source=offered.source)
            return False
        self.revision = revision.revision
        self.catalogue = catalogue
        self._data = offered.data
        self._invalid = None
        logger.info('catalogue revision {} in force', self.revision)
        self._publish(CatalogueChanged(self.revision, catalogue))
        self._push()
        return True

    def _reject(self, source: str, exc: CatalogueError) -> None:
        self.metrics.count('catalogue_invalid', source=source)
        if self._invalid != exc.message:
            self._invalid = exc.message
            logger.error('catalogue from {} is invalid: {}', source, exc.message)

    def _push(self) -> None:
        if self._view is None:
            return
        for peer in self._view.peers:
            behind = peer.revision < self.revision
            if peer.reachable and behind and peer.host != self._host:
                self._transport.send(peer.host, CatalogueOffer(self._data))

    def _on_view(self, view: MembershipView) -> None:
        self._view = view

    def _on_received(self, received: Received) -> None:
        message = received.message
        if isinstance(message, CatalogueOffer):
            self.offer(RevisionOffer(bytes(message.data), 'peer'))
        elif isinstance(message, CatalogueWant) and message.revision < self.revision:
            self._transport.send(received.host, CatalogueOffer(self._data))

    # Reading the service, in a greenlet of its own.

    def _fetch_loop(self) -> None:
        index = 0
        while True:
            try:
                stored = self._read(index)
            except PlatformError:
                self.metrics.count('key_value_errors', use='catalogue')
                index = 0
                gevent.sleep(RETRY_S * (1 + self._rng.random()))
                continue
            if stored is None:
                gevent.sleep(RETRY_S * (1 + self._rng.random()))
                continue
            if stored.index != index:
                self.post(RevisionOffer(stored.value, 'service'))
            index = stored.index
            if not self._watches():
                interval = self._timing.catalogue_poll_s
                gevent.sleep(interval * (1 + POLL_JITTER * self._rng.random()))

    def _read(self, index: int) -> Any:
        if index and self._watches():
            wait_s = self._timing.catalogue_watch_s
            return self._store.watch(CATALOGUE_KEY, index, wait_s)
        return self._store.get(CATALOGUE_KEY)

    def _watches(self) -> bool:
        if self._view is None:
            return True
        hosts = [peer.host for peer in self._view.peers if peer.reachable]
        return self._host in rank_by_hash(CATALOGUE_KEY, hosts)[:WATCHERS]
