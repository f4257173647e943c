"""Cuts the path between one router of a test and its upstreams, in several ways."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket

from rosemaryseam.router.faults import NotSentError

if TYPE_CHECKING:
    from routers import RunningRouter

    from rosemaryseam.common.addresses import Address

POLL_S = 0.01


class Cut(enum.Enum):
    """How connections to upstreams fail."""

    NONE = 'none'
    HANG = 'hang'  # all of them, without an answer
    REFUSE = 'refuse'  # new ones are refused, open ones are reset
    RESET = 'reset'  # all of them are reset
    NEW_ONLY = 'new-only'  # new ones are refused, open ones go on


class PathSwitch:
    """Replaces the connects of a router, before it has opened any connection.

    :param router: router whose path is cut
    :param ports: ports of the upstreams that a cut concerns, ``None`` for all
    """

    def __init__(self, router: RunningRouter, ports: set[int] | None = None) -> None:
        self.cut = Cut.NONE
        self.connects = 0
        self.silent = socket.socketpair()
        self.ports = ports
        paths = router.router.paths
        self._connect, paths.connect_socket = paths.connect_socket, self._connect_cut

    def _connect_cut(self, address: Address, timeout_s: float) -> SwitchedSocket:
        self.connects += 1
        concerned = self.ports is None or address.port in self.ports
        if concerned and self.cut is Cut.HANG:
            gevent.sleep(timeout_s)
            raise NotSentError('cut') from TimeoutError()
        if concerned and self.cut is not Cut.NONE:
            raise NotSentError('cut') from ConnectionRefusedError()
        return SwitchedSocket(self, self._connect(address, timeout_s), concerned)


class SwitchedSocket:
    """A connected socket that hangs or fails while the path is cut."""

    def __init__(self, switch: PathSwitch, sock: Any, concerned: bool) -> None:
        self._switch = switch
        self._sock = sock
        self._concerned = concerned

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def fileno(self) -> int:
        """Return the descriptor, of a socket without bytes while the path hangs."""
        hangs = self._concerned and self._switch.cut is Cut.HANG
        return self._switch.silent[0].fileno() if hangs else self._sock.fileno()

    def recv(self, size: int, flags: int = 0) -> bytes:
        data = None
        while data is None:
            self._wait()
            with gevent.Timeout(POLL_S, False):
                data = self._sock.recv(size, flags)
        self._wait()
        return data

    def sendall(self, data: bytes) -> None:
        self._wait()
        self._sock.sendall(data)

    def _wait(self) -> None:
        while self._concerned and self._switch.cut is Cut.HANG:
            gevent.sleep(POLL_S)
        if self._concerned and self._switch.cut in (Cut.REFUSE, Cut.RESET):
            raise ConnectionResetError('cut')
