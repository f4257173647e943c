"""Local replica of the catalogue, whose revision never decreases."""

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

# Number of hosts that watch the catalogue key in the key-value service; others poll.
WATCHING_HOSTS = 2
POLL_JITTER = 0.5  # maximum random delay as a fraction of the poll interval
RETRY_DELAY_S = 0.5


class RevisionOffer(NamedTuple):
    """Encoded catalogue revision from the key-value service, a peer or an operator."""

    data: bytes
    source: str


class ReplicaTask(Task):
    """Task that owns the catalogue in force on this host.

    :param host: name of this host
    :param store: client of the platform's key-value service
    :param transport: sends messages to peers
    :param rng: random number generator for jitter and the choice of peers
    :param publish: called with each :class:`.dispatcher.CatalogueChanged`
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
        self._reader: gevent.Greenlet | None = None
        self.revision = 0
        self.catalogue: Catalogue | None = None

    @property
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """The handler for each type of message."""
        return {
            Received: self._on_received,
            MembershipView: self._on_view,
            RevisionOffer: self.offer,
        }

    def start(self) -> None:
        """Start the task and the greenlet that reads the key-value service."""
        super().start()
        self._reader = gevent.spawn(self._read_loop)

    def stop(self) -> None:
        """Stop both greenlets."""
        super().stop()
        if self._reader is not None:
            self._reader.kill()

    def tick(self) -> None:
        """Request the catalogue from a peer that has a higher revision."""
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
        """Return the revision in force and the last validation error."""
        return {'revision': self.revision, 'invalid': self._invalid}

    def offer(self, offer: RevisionOffer) -> bool:
        """Adopt a revision if it is valid and higher than the current one.

        :param offer: encoded revision and its source
        :returns: whether the revision is now in force
        """
        try:
            revision, catalogue = decode_revision(offer.data)
        except CatalogueError as exc:
            self._reject(offer.source, exc)
            return False
        if revision.revision <= self.revision:
            if revision.revision < self.revision:
                self.metrics.count('catalogue_stale', source=offer.source)
            return False
        self.revision = revision.revision
        self.catalogue = catalogue
        self._data = offer.data
        self._invalid = None
        logger.info('catalogue revision {} is in force', self.revision)
        self._publish(CatalogueChanged(self.revision, catalogue))
        self._push_to_peers()
        return True

    def _reject(self, source: str, exc: CatalogueError) -> None:
        self.metrics.count('catalogue_invalid', source=source)
        if self._invalid != exc.message:
            self._invalid = exc.message
            logger.error('rejected invalid catalogue from {}: {}', source, exc.message)

    def _push_to_peers(self) -> None:
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

    # The methods below run in a separate greenlet that reads the key-value service.

    def _read_loop(self) -> None:
        index = 0
        while True:
            try:
                stored = self._read_stored(index)
            except PlatformError:
                self.metrics.count('key_value_errors', use='catalogue')
                index = 0
                gevent.sleep(RETRY_DELAY_S * (1 + self._rng.random()))
                continue
            if stored is None:
                gevent.sleep(RETRY_DELAY_S * (1 + self._rng.random()))
                continue
            if stored.index != index:
                self.post(RevisionOffer(stored.value, 'service'))
            index = stored.index
            if not self._is_watching_host():
                interval = self._timing.catalogue_poll_s
                gevent.sleep(interval * (1 + POLL_JITTER * self._rng.random()))

    def _read_stored(self, index: int) -> Any:
        if index and self._is_watching_host():
            wait_s = self._timing.catalogue_watch_s
            return self._store.watch(CATALOGUE_KEY, index, wait_s)
        return self._store.get(CATALOGUE_KEY)

    def _is_watching_host(self) -> bool:
        if self._view is None:
            return True
        hosts = [peer.host for peer in self._view.peers if peer.reachable]
        return self._host in rank_by_hash(CATALOGUE_KEY, hosts)[:WATCHING_HOSTS]
