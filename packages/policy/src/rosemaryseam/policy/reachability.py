"""Decides from connects and received bytes whether a host is cut off from upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURE_WINDOW_S = 2.0  # a request may need 0.3 s for each of its failed connects
MIN_FAILED_UPSTREAMS = 2  # one upstream that cannot be reached is its own fault
TEST_INTERVAL_S = 0.5  # between two tests while upstreams themselves are at fault
SILENCE_S = 0.5  # without a byte from any upstream, until connects are tried
PROBE_INTERVAL_S = 0.5  # between two direct connects of a partitioned host
MIN_PROBE_SUCCESSES = 2  # in a row, to different upstreams, to end a partition
CONFIRMED_DOWN_S = 1.0  # for which another host's failed connect is believed

Incarnation = tuple[str, int]


class Wait(NamedTuple):
    """A request that waits for bytes of an upstream.

    ``since`` is the time of the last byte, or of the request; within ``expected_s``
    the next byte usually arrives.
    """

    upstream: Incarnation
    since: float
    expected_s: float


class Reachability:
    """Tracks evidence about the path to upstreams and the resulting state.

    Failed connects alone do not show a partition, since upstreams may be down. They
    make the host *suspect*; a tunnel through another host is the test. Bytes on open
    connections do not rule a partition out, as only new ones may fail.

    All times are seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self.partitioned = False
        self.partitioned_at = 0.0
        self._failures: dict[Incarnation, float] = {}
        self._broken: dict[Incarnation, float] = {}
        self._confirmed_down: dict[Incarnation, float] = {}
        self._contact_at = float('-inf')
        self._tested_at = float('-inf')
        self._reached: set[Incarnation] = set()  # directly, during this partition
        self._probed_at: dict[Incarnation, float] = {}
        self._next_probe_at = 0.0
        self._last_success: Incarnation | None = None
        self._probes = 0

    # Evidence.

    def record_failure(self, upstream: Incarnation, now: float) -> None:
        """Record a direct connect that failed.

        :param upstream: upstream that could not be reached
        :param now: time of the failure
        """
        self._failures[upstream] = now
        self._reached.discard(upstream)
        if self._last_success == upstream:
            self._last_success = None

    def record_broken(self, upstream: Incarnation, now: float) -> None:
        """Record a direct connection that broke or was given up without an answer.

        It counts only beside a failed connect, as upstreams reset connections too.

        :param upstream: upstream of the connection
        :param now: time of the failure
        """
        self._broken[upstream] = now

    def record_connected(self, upstream: Incarnation, now: float) -> None:
        """Record a direct connect that succeeded.

        :param upstream: upstream that was reached
        :param now: time of the success
        """
        self._failures.pop(upstream, None)
        self._broken.pop(upstream, None)
        self._confirmed_down.pop(upstream, None)
        self._contact_at = now
        if self.partitioned:
            self._reached.add(upstream)

    def record_bytes(self, now: float) -> None:
        """Record that bytes of an upstream arrived on a direct connection.

        :param now: time of the arrival
        """
        self._contact_at = now

    def record_test(self, upstream: Incarnation, now: float, *, reached: bool) -> None:
        """Record the result of a tunnel to an upstream that could not be reached.

        :param upstream: upstream of the tunnel
        :param now: time of the result
        :param reached: whether the other host reached the upstream
        """
        if not reached:
            self._tested_at = now
            self._confirmed_down[upstream] = now
            self._failures.pop(upstream, None)
            self._broken.pop(upstream, None)
        elif not self.partitioned:
            self.partitioned = True
            self.partitioned_at = now
            self._reached.clear()
            self._probed_at.clear()
            self._last_success = None
            self._probes = 0
            self._next_probe_at = now + PROBE_INTERVAL_S

    def retain(self, kept: Iterable[Incarnation]) -> None:
        """Drop the state of upstreams that are not registered any more.

        :param kept: incarnations that are registered
        """
        names = set(kept)
        for known in (
            self._failures,
            self._broken,
            self._confirmed_down,
            self._probed_at,
        ):
            for name in [key for key in known if key not in names]:
                del known[name]
        self._reached &= names

    # Decisions.

    def is_suspect(self, now: float, known: int) -> bool:
        """Return whether this host rather than the upstreams may be at fault.

        :param now: current time
        :param known: number of registered upstreams
        """
        if self.partitioned:
            return True
        failed = self.failed(now).keys()
        if not failed:
            return False
        broken = {
            name for name, at in self._broken.items() if now - at < FAILURE_WINDOW_S
        }
        return len(failed | broken) >= min(MIN_FAILED_UPSTREAMS, known)

    def has_recent_failure(self, now: float) -> bool:
        """Return whether a connection failed and nothing was received since.

        :param now: current time
        """
        failed = [*self.failed(now).values(), *self._broken.values()]
        oldest = max(self._contact_at, now - FAILURE_WINDOW_S)
        return any(at >= oldest for at in failed)

    def may_test(self, now: float) -> bool:
        """Return whether enough time passed since a test found upstreams at fault.

        :param now: current time
        """
        return now - self._tested_at >= TEST_INTERVAL_S

    def uses_tunnel(self, upstream: Incarnation) -> bool:
        """Return whether new connections to an upstream go through another host.

        :param upstream: upstream to connect to
        """
        return self.partitioned and upstream not in self._reached

    def reaches_any(self) -> bool:
        """Return whether any upstream was reached directly during this partition."""
        return bool(self._reached)

    def has_contact_since(self, at: float) -> bool:
        """Return whether anything arrived directly from an upstream since a time.

        :param at: the time
        """
        return self._contact_at > at

    def is_confirmed_down(self, upstream: Incarnation, now: float) -> bool:
        """Return whether other hosts could not reach an upstream either.

        :param upstream: upstream in question
        :param now: current time
        """
        at = self._confirmed_down.get(upstream)
        return at is not None and now - at < CONFIRMED_DOWN_S

    def failed(self, now: float) -> dict[Incarnation, float]:
        """Return the upstreams that failed lately with the times of their failures.

        :param now: current time
        """
        return {
            upstream: at
            for upstream, at in self._failures.items()
            if now - at < FAILURE_WINDOW_S
        }

    def silent_upstreams(self, waits: Iterable[Wait], now: float) -> set[Incarnation]:
        """Return upstreams to connect to, because none of them sends anything.

        The result is empty unless several upstreams are silent for longer than expected
        and no byte came from any upstream. Their silence alone proves nothing: they may
        all be busy. A connect tells.

        :param waits: requests that wait for bytes on direct connections
        :param now: current time
        """
        if self.partitioned or now - self._contact_at < SILENCE_S:
            return set()
        silent = {
            wait.upstream
            for wait in waits
            if now - wait.since >= SILENCE_S + wait.expected_s
        }
        oldest = max(self._contact_at, now - FAILURE_WINDOW_S)
        silent |= {name for name, at in self._broken.items() if at > oldest}
        return silent if len(silent) >= MIN_FAILED_UPSTREAMS else set()

    # The end of a partition.

    def next_probe(
        self, upstreams: Iterable[Incarnation], now: float, jitter: float
    ) -> Incarnation | None:
        """Return the upstream to which a direct connect is due, or ``None``.

        Every other probe goes to an upstream whose last connect failed. While only some
        upstreams can be reached, two probes in a row therefore don't both succeed.

        :param upstreams: registered upstreams
        :param now: current time
        :param jitter: random factor around 1 for the time of the next probe
        """
        if not self.partitioned or now < self._next_probe_at:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_S * jitter
        self._probes += 1
        known = list(upstreams)
        others = [name for name in known if name != self._last_success] or known
        failed = [name for name in others if name in self._failures]
        sound = [name for name in others if name not in self._failures]
        group = (failed or sound) if self._probes % 2 else (sound or failed)
        return min(group, key=lambda name: self._probed_at.get(name, 0.0), default=None)

    def record_probe(
        self, upstream: Incarnation, now: float, known: int, *, reached: bool
    ) -> bool:
        """Record the result of a probe; return whether the partition ended.

        :param upstream: upstream that was probed
        :param now: time of the result
        :param known: number of registered upstreams
        :param reached: whether the connect succeeded
        """
        self._probed_at[upstream] = now
        if not reached:
            self.record_failure(upstream, now)
            self._last_success = None
            return False
        self.record_connected(upstream, now)
        first, self._last_success = self._last_success, upstream
        if first is None and known >= MIN_PROBE_SUCCESSES:
            return False
        self.partitioned = False
        self._failures.clear()
        self._reached.clear()
        return True
