"""Stand-in for what stands between two ends: a TCP relay that loses bytes."""

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

_RELAY = flags.DEFINE_string('relay', None, 'IP number and port to accept at.')
_TARGET = flags.DEFINE_string('target', None, 'IP number and port to pass bytes to.')

READ_BYTES = 65_536


class Relay:
    """Passes bytes both ways, but for connections that it swallows.

    :param target: where accepted connections go
    """

    def __init__(self, target: str) -> None:
        self._target = tuple(parse_address(target))
        self._open: set[_Connection] = set()
        self._cut_sources: set[str] = set()
        self._accepted = 0
        self._swallowed = 0

    def apply(self, change: dict[str, Any]) -> None:
        """Set ``swallow_open`` or ``cut_sources`` (IP numbers, ``*`` for all).

        ``swallow_open`` silences the connections that are open now for good; new
        ones work. ``cut_sources`` silences open and new ones from those sources.
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
        return {'accepted': self._accepted, 'swallowed': self._swallowed}

    def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Relay one connection until either end closes it."""
        self._accepted += 1
        connection = _Connection(address[0], sock)
        if self._is_cut(address[0]):
            self._silence(connection)
        self._open.add(connection)
        try:
            connection.run(self._target)
        finally:
            self._open.discard(connection)

    def _is_cut(self, source: str) -> bool:
        return '*' in self._cut_sources or source in self._cut_sources

    def _silence(self, connection: _Connection) -> None:
        if not connection.silent.is_set():
            self._swallowed += 1
            connection.silent.set()


class _Connection:
    def __init__(self, source: str, sock: Any) -> None:
        self.source = source
        self.silent = Event()
        self._sock = sock

    def run(self, target: tuple[str, int]) -> None:
        """Pass bytes both ways; a silent connection only reads them."""
        try:
            other = socket.create_connection(target)
        except OSError:
            self._sock.close()
            return
        pumps = [
            gevent.spawn(self._pump, self._sock, other),
            gevent.spawn(self._pump, other, self._sock),
        ]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        other.close()
        self._sock.close()

    def _pump(self, source: Any, sink: Any) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not self.silent.is_set():
                    sink.sendall(data)
        except OSError:
            pass
        if self.silent.is_set():
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
