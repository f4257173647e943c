"""Stand-in for network equipment: a TCP relay that can silently drop bytes."""

from __future__ import annotations

from typing import Any

import falcon
import gevent
from absl import flags
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.standins.serving import ControlResource, main

_RELAY = flags.DEFINE_string('relay', None, 'Address to accept connections at.')
_TARGET = flags.DEFINE_string('target', None, 'Address to relay connections to.')

READ_BYTES = 65_536


class Relay:
    """Relays connections and drops the bytes of silenced connections.

    :param target: address to relay connections to
    """

    def __init__(self, target: str) -> None:
        self._target = tuple(parse_address(target))
        self._open: set[_RelayedConnection] = set()
        self._cut_sources: set[str] = set()
        self._accepted_count = 0
        self._silenced_count = 0

    def apply(self, change: dict[str, Any]) -> None:
        """Set ``swallow_open`` or ``cut_sources`` (IP numbers, ``*`` for all).

        ``swallow_open`` silences all open connections permanently, but not new ones.
        ``cut_sources`` silences open and new connections from these sources.
        """
        if change.get('swallow_open'):
            for connection in self._open:
                self._silence(connection)
        if 'cut_sources' in change:
            self._cut_sources = set(change['cut_sources'])
            for connection in self._open:
                if self._is_cut(connection.source):
                    self._silence(connection)

    def show(self) -> dict[str, Any]:
        """Return the counters."""
        return {'accepted': self._accepted_count, 'swallowed': self._silenced_count}

    def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Relay one connection until either end closes it."""
        self._accepted_count += 1
        connection = _RelayedConnection(address[0], sock)
        if self._is_cut(address[0]):
            self._silence(connection)
        self._open.add(connection)
        try:
            connection.run(self._target)
        finally:
            self._open.discard(connection)

    def _is_cut(self, source: str) -> bool:
        return '*' in self._cut_sources or source in self._cut_sources

    def _silence(self, connection: _RelayedConnection) -> None:
        if not connection.silenced.is_set():
            self._silenced_count += 1
            connection.silenced.set()


class _RelayedConnection:
    def __init__(self, source: str, sock: Any) -> None:
        self.source = source
        self.silenced = Event()
        self._sock = sock

    def run(self, target: tuple[str, int]) -> None:
        """Relay bytes in both directions; a silenced connection drops them."""
        try:
            other = socket.create_connection(target)
        except OSError:
            self._sock.close()
            return
        greenlets = [
            gevent.spawn(self._relay_bytes, self._sock, other),
            gevent.spawn(self._relay_bytes, other, self._sock),
        ]
        gevent.joinall(greenlets, count=1)
        gevent.killall(greenlets)
        other.close()
        self._sock.close()

    def _relay_bytes(self, source: Any, sink: Any) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not self.silenced.is_set():
                    sink.sendall(data)
        except OSError:
            pass
        if self.silenced.is_set():
            Event().wait()


def build() -> falcon.App:
    """Start the relay and return its control application."""
    relay = Relay(_TARGET.value)
    address = parse_address(_RELAY.value)
    StreamServer(tuple(address), relay.serve).start()
    application = falcon.App()
    application.add_route('/control', ControlResource(relay.apply, relay.show))
    return application


if __name__ == '__main__':
    flags.mark_flags_as_required(['relay', 'target'])
    main(build)
