"""What a host knows about which other hosts do not reach which upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.router.tunnelwire import CUT_OFF, REFUSED

if TYPE_CHECKING:
    from collections.abc import Collection

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.reachability import Incarnation

KNOWN_S = 2.0  # for which a host is not asked again for an upstream
MAX_WITNESSES = 6  # hosts that are enough to believe that an upstream is down


class _Report(NamedTuple):
    """What a host said of an upstream, and the monotonic time until it counts."""

    result: str
    expires_at: float


class RelayKnowledge:
    """Remembers for a while which hosts do not reach an upstream.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[Incarnation, dict[str, _Report]] = {}

    def record(self, host: str, upstream: Incarnation, result: str) -> None:
        """Record that a host does not reach an upstream.

        :param host: address of the host
        :param upstream: upstream that it was asked for
        :param result: its result; :data:`tunnelwire.CUT_OFF` says nothing about the
            upstream
        """
        self._forget_expired()
        reports = self._reports.setdefault(upstream, {})
        reports[host] = _Report(result, self._clock.monotonic() + KNOWN_S)

    def hosts_without(self, upstream: Incarnation) -> set[str]:
        """Return the hosts that do not reach an upstream.

        :param upstream: upstream to reach
        """
        return set(self._current(upstream))

    def is_down(self, upstream: Incarnation, hosts: Collection[str]) -> bool:
        """Return whether other hosts show that an upstream is at fault.

        A host that does not reach an upstream may be cut off from it as well, so that
        all that could relay have to agree, or many of a large fleet.

        :param upstream: upstream that this host does not reach
        :param hosts: other hosts, without those that are cut off from all upstreams
        """
        results = self._current(upstream)
        witnesses = sum(result != CUT_OFF for result in results.values())
        undecided = sum(results.get(host) != CUT_OFF for host in hosts)
        return witnesses >= max(1, min(MAX_WITNESSES, undecided))

    def is_refused(self, upstream: Incarnation) -> bool:
        """Return whether an upstream refused the connect of another host.

        :param upstream: upstream that this host does not reach
        """
        return REFUSED in self._current(upstream).values()

    def _current(self, upstream: Incarnation) -> dict[str, str]:
        now = self._clock.monotonic()
        reports = self._reports.get(upstream, {})
        return {
            host: report.result
            for host, report in reports.items()
            if report.expires_at > now
        }

    def _forget_expired(self) -> None:
        now = self._clock.monotonic()
        for upstream, reports in list(self._reports.items()):
            if all(report.expires_at <= now for report in reports.values()):
                del self._reports[upstream]
