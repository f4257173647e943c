"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import socket as std_socket
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

READ_BYTES = 65_536
# SO_LINGER on with no delay: closing the socket resets its connection.
LINGER_ABORT = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class FaultyProxy:
    """Forwards connections to a target and injects faults.

    :param listen: IP address and port to listen on
    :param target: IP address and port of the target
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.target = target
        self.delay_s = 0.0
        # Or refuse, silent, mute (drops answers) or deaf (drops requests).
        self.mode = 'open'
        self._connections: set[_ProxiedConnection] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self.address = (self._server.server_host, self._server.server_port)

    def set_mode(self, mode: str, delay_s: float = 0.0) -> None:
        """Change mode and delay, also of connections that are open."""
        self.mode = mode
        self.delay_s = delay_s

    def silence_open(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        for connection in self._connections:
            connection.silent = True

    def reset_open(self) -> None:
        """Reset the connections that are open now."""
        for connection in list(self._connections):
            connection.reset()

    def stop(self, *, in_order: bool = False) -> None:
        """Stop listening and reset all connections, or end them in order."""
        self._server.stop(timeout=0)
        if in_order:
            for connection in list(self._connections):
                connection.close()
        else:
            self.reset_open()

    def _serve(self, sock: Any, _: object) -> None:
        if self.mode == 'refuse':
            _reset(sock)
            return
        if self.mode == 'silent':
            Event().wait(30.0)
            return
        try:
            target_sock = socket.create_connection(self.target, timeout=1.0)
        except OSError:
            _reset(sock)
            return
        target_sock.settimeout(None)
        connection = _ProxiedConnection(self, sock, target_sock)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class _ProxiedConnection:
    def __init__(self, proxy: FaultyProxy, client: Any, target: Any) -> None:
        self._proxy = proxy
        self._client = client
        self._target = target
        self.silent = False

    def run(self) -> None:
        copiers = [
            gevent.spawn(self._copy, self._client, self._target, 'deaf'),
            gevent.spawn(self._copy, self._target, self._client, 'mute'),
        ]
        gevent.joinall(copiers, count=1)
        gevent.killall(copiers)
        self.close()

    def close(self) -> None:
        self._target.close()
        self._client.close()

    def reset(self) -> None:
        _reset(self._client)
        _reset(self._target)

    def _copy(self, source: Any, sink: Any, lost_in: str) -> None:
        lost = False  # TCP delivers nothing that follows lost bytes
        try:
            while data := source.recv(READ_BYTES):
                if self._proxy.delay_s:
                    gevent.sleep(self._proxy.delay_s)
                if self.silent or self._proxy.mode in ('silent', lost_in):
                    lost = True
                if not lost:
                    sink.sendall(data)
        except OSError:
            self.reset()  # an ordered end would look like that of an answer
            return
        if lost or self.silent or self._proxy.mode == 'silent':
            Event().wait(30.0)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, LINGER_ABORT)
        sock.close()
    except OSError:
        return
