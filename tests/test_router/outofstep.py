"""Hosts that miss for a while what the others do."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.errors import PlatformError

if TYPE_CHECKING:
    from routers import RunningRouter


class StoreCut:
    """Passes a host's calls to the store, until calls get no answer.

    :param store: the store
    """

    def __init__(self, store: Any) -> None:
        self._store = store
        self.cut = False

    def __getattr__(self, name: str) -> Any:
        """Return a method that gets no answer while the host is cut off."""
        method = getattr(self._store, name)

        def call(*args: Any) -> Any:
            began_cut = self.cut
            result = None if began_cut else method(*args)
            if began_cut or self.cut:
                gevent.sleep(0.3)
                raise PlatformError('no answer')
            return result

        return call


class OutOfStep:
    """Cuts a host off from the other hosts, and from the store if asked to.

    :param host: the host
    """

    def __init__(self, host: RunningRouter) -> None:
        self._peers = host.router.peers
        self._store = StoreCut(host.store)
        host.router.relayed_store._store = self._store
        host.router._store_confirmer._store = self._store
        host.store.put('rosemaryseam/other', b'')  # ends the watch in progress
        gevent.sleep(0.05)
        self._transmit = self._peers._transmit
        self._handle = self._peers._handle_datagram

    def cut(self, *, store: bool) -> None:
        """Drop all messages of other hosts and to them."""
        self._peers._transmit = lambda *_: None
        self._peers._handle_datagram = lambda *_: None
        self._store.cut = store

    def heal(self) -> None:
        """End the cut; what was sent meanwhile is lost."""
        self._peers._transmit = self._transmit
        self._peers._handle_datagram = self._handle
        self._store.cut = False
