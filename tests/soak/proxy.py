"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import socket as std_socket
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

READ_BYTES = 65_536
RESET = b'\x01\x00\x00\x00\x00\x00\x00\x00'  # SO_LINGER: on, at once


class FaultyProxy:
    """Passes connections to a target, as long as no fault is set.

    :param listen: where to listen
    :param target: where connections lead
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.target = target
        self.delay_s = 0.0
        self.mode = 'open'  # or refuse, silent, mute (no way back), deaf (no way there)
        self._pairs: set[_Pair] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()
        self.address = (self._server.server_host, self._server.server_port)

    def set(self, mode: str, delay_s: float = 0.0) -> None:
        """Change how bytes pass, also on connections that are open."""
        self.mode = mode
        self.delay_s = delay_s

    def silence_open(self) -> None:
        """Lose all bytes of the connections that are open now, for good."""
        for pair in self._pairs:
            pair.silent = True

    def reset_open(self) -> None:
        """Reset the connections that are open now."""
        for pair in list(self._pairs):
            pair.reset()

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        self._server.stop(timeout=0)
        self.reset_open()

    def _serve(self, sock: Any, _: object) -> None:
        if self.mode == 'refuse':
            _reset(sock)
            return
        if self.mode == 'silent':
            Event().wait(30.0)
            return
        try:
            other = socket.create_connection(self.target, timeout=1.0)
        except OSError:
            _reset(sock)
            return
        other.settimeout(None)
        pair = _Pair(self, sock, other)
        self._pairs.add(pair)
        try:
            pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    def __init__(self, proxy: FaultyProxy, near: Any, far: Any) -> None:
        self._proxy = proxy
        self._near = near
        self._far = far
        self.silent = False

    def run(self) -> None:
        pumps = [
            gevent.spawn(self._pump, self._near, self._far, 'deaf'),
            gevent.spawn(self._pump, self._far, self._near, 'mute'),
        ]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        self._far.close()
        self._near.close()

    def reset(self) -> None:
        _reset(self._near)
        _reset(self._far)

    def _pump(self, source: Any, sink: Any, lost_in: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self._proxy.delay_s:
                    gevent.sleep(self._proxy.delay_s)
                if self.silent or self._proxy.mode in ('silent', lost_in):
                    continue
                sink.sendall(data)
        except OSError:
            return
        if self.silent or self._proxy.mode == 'silent':
            Event().wait(30.0)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, RESET)
        sock.close()
    except OSError:
        return
