"""The path of one connection to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.upstreamconnection import ConnectionPath

if TYPE_CHECKING:
    from rosemaryseam.policy.reachability import Incarnation
    from rosemaryseam.router.paths import UpstreamPaths


class UpstreamPath(ConnectionPath):
    """The path of one connection, which reports what happens on it.

    :param paths: paths of this host
    :param upstream: upstream at the end of the path
    :param relay: address of the host that relays, ``None`` on a direct path
    """

    def __init__(
        self, paths: UpstreamPaths, upstream: Incarnation, relay: str | None
    ) -> None:
        self._paths = paths
        self.upstream = upstream
        self.relay = relay
        self.waiting_since = 0.0
        self.expected_s = 0.0

    def on_sent(self) -> None:
        """Record that a request was sent, whose answer is waited for."""
        self._paths.record_sent(self)

    def on_bytes(self) -> None:
        """Record that bytes of the upstream arrived."""
        self._paths.record_bytes(self)

    def on_failed(self) -> None:
        """Record that the connection broke or that the upstream fell silent."""
        self._paths.record_broken(self)

    def is_lost(self) -> bool:
        """Return whether the path is cut or its relay fails, and no bytes arrive."""
        return self._paths.is_lost(self)

    def on_released(self) -> None:
        """Record that no answer is waited for any more."""
        self._paths.record_released(self)
