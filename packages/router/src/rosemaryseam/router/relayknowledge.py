"""What a host knows about which other hosts do not reach which upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.reachability import Incarnation

KNOWN_S = 2.0  # for which a host is not asked again for an upstream


class RelayKnowledge:
    """Remembers for a while which hosts do not reach an upstream.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[Incarnation, dict[str, float]] = {}

    def record(self, host: str, upstream: Incarnation) -> None:
        """Record that a host does not reach an upstream.

        :param host: address of the host
        :param upstream: upstream that it was asked for
        """
        self._forget_expired()
        hosts = self._until.setdefault(upstream, {})
        hosts[host] = self._clock.monotonic() + KNOWN_S

    def hosts_without(self, upstream: Incarnation) -> set[str]:
        """Return the hosts that do not reach an upstream.

        :param upstream: upstream to reach
        """
        now = self._clock.monotonic()
        until = self._until.get(upstream, {})
        return {host for host, expires_at in until.items() if expires_at > now}

    def _forget_expired(self) -> None:
        now = self._clock.monotonic()
        for upstream, hosts in list(self._until.items()):
            kept = {host: until for host, until in hosts.items() if until > now}
            if kept:
                self._until[upstream] = kept
            else:
                del self._until[upstream]
