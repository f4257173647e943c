"""Remembers which software version began each stream, together with other hosts."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

import gevent
import xxhash
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.hashring import HashRing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.hostlink import HostLink

MAX_KEPT = 50_000
MAX_OWN = 4096  # latest origins of this host, for when they are to be written
HOMES = 3  # hosts that are asked for an origin; the host of the stream may be one
SHARE_INTERVAL_S = 0.05  # within which origins are sent together
RESEND_DELAY_S = 0.02  # hosts answer in 1 to 5 ms unless a datagram is lost
LOOKUP_TIMEOUT_S = 0.1
MAX_OTHERS_ASKED = 32  # hosts besides the homes of an origin
MAX_NAME_CHARS = 200  # of a stream


def stream_name(request_id: str) -> str:
    """Return the name by which hosts know a stream.

    It is the id of the request that began the stream, or a digest of an id that is long
    or not made of printable ASCII characters. The name of a name is the name itself.

    :param request_id: id as the caller sent it
    """
    is_plain = request_id.isascii() and request_id.isprintable()
    if is_plain and len(request_id) <= MAX_NAME_CHARS and ' ' not in request_id:
        return request_id
    return f'id-{xxhash.xxh3_128_hexdigest(request_id.encode(errors="replace"))}'


class Software(NamedTuple):
    """A version of the software of a service's upstreams."""

    service: str
    version: str


class StreamOrigin(NamedTuple):
    """The software that began a stream; ``None`` if the sender does not know it.

    ``request_id`` is the id of the caller's request that brought the first event, as
    :func:`stream_name` returns it.
    """

    request_id: str
    software: Software | None


class _Lookup:
    """A question to other hosts that waits for their answers."""

    def __init__(self, hosts: Iterable[str]) -> None:
        self.unanswered = set(hosts)
        self.software: Software | None = None
        self.done = Event()


class StreamOrigins:
    """Keeps the origins of streams for a while, here and on a few other hosts.

    A caller may take a stream up at any host, also when the host of its beginning has
    ended. Consistent hashing of the request's id names the hosts that know its origin.

    :param host: address of this host
    :param clock: clock of the process
    :param kept_s: returns the seconds for which origins are kept; longer than callers
        take streams up again after their beginning
    :param has_several_versions: returns whether several versions of a service serve or
        have served lately; the origins of its streams are then written to the store
    """

    def __init__(
        self,
        host: str,
        clock: Clock,
        kept_s: Callable[[], float],
        has_several_versions: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._host = host
        self._clock = clock
        self._kept_s = kept_s
        self._has_several_versions = has_several_versions
        self._write: Callable[[Iterable[StreamOrigin]], None] = lambda _: None
        self._own: deque[tuple[float, StreamOrigin]] = deque(maxlen=MAX_OWN)
        self._written_services: set[str] = set()
        self._link: HostLink | None = None
        self._kept: OrderedDict[str, tuple[Software, float]] = OrderedDict()
        self._unshared: list[StreamOrigin] = []
        self._has_unshared = Event()
        self._lookups: dict[str, _Lookup] = {}
        self._ring = HashRing(())
        self._ring_names: frozenset[str] = frozenset()

    def connect(
        self, link: HostLink, write: Callable[[Iterable[StreamOrigin]], None]
    ) -> None:
        """Set the ways to the other hosts and to the store.

        :param link: link that sends messages to the other hosts
        :param write: has origins written to the store
        """
        self._link = link
        self._write = write

    def versions_changed(self) -> None:
        """Have it checked whose streams' origins are written to the store."""
        self._has_unshared.set()

    def write_again(self) -> None:
        """Have the origins of this host's streams written that the store may lack."""
        self._written_services.clear()
        self._has_unshared.set()

    def adopt(self, origin: StreamOrigin) -> None:
        """Keep an origin that is known elsewhere.

        :param origin: origin with its software
        """
        if origin.software is not None:
            # Older software writes ids as callers sent them.
            self._keep(stream_name(origin.request_id), origin.software)

    def record(self, request_id: str, software: Software) -> None:
        """Record that the first event of a stream was delivered, and share it.

        :param request_id: id of the caller's request
        :param software: software of the upstream
        """
        name = stream_name(request_id)
        self._keep(name, software)
        origin = StreamOrigin(name, software)
        self._own.append((self._clock.monotonic(), origin))
        self._unshared.append(origin)
        self._has_unshared.set()

    def find(self, request_id: str) -> Software | None:
        """Return the software that began a stream, or ``None`` if no host knows it.

        Waits for other hosts if this one does not know it.

        :param request_id: id of the request that brought the first event
        """
        name = stream_name(request_id)
        software = self.get(name)
        if software is not None:
            return software
        if self._link is None:
            return None
        homes = [host for host in self._homes(name) if host != self._host]
        others = [host for host in self._link.known_hosts() if host not in homes]
        software = self._ask(name, homes) if homes else None
        if software is None and 0 < len(others) <= MAX_OTHERS_ASKED:
            # One of them may have relayed the beginning, of which the homes lost word.
            software = self._ask(name, others)
            homes += others
        log_event('stream_origin', id=name, software=software, asked=homes)
        return software

    def size(self) -> int:
        """Return the number of streams whose origin is kept."""
        return len(self._kept)

    # Exchange with the other hosts.

    def share_step(self) -> None:
        """Wait for origins that were recorded, and send them to their hosts."""
        self._has_unshared.wait()
        if not self._is_urgent():
            gevent.sleep(SHARE_INTERVAL_S)
        self._has_unshared.clear()
        unshared, self._unshared = self._unshared, []
        if self._link is None:
            return
        for origin in unshared:
            for host in self._homes(origin.request_id):
                if host != self._host:
                    self._link.send_origin(host, origin)
        self._write(self._take_unwritten(unshared))

    def _is_urgent(self) -> bool:
        """Return whether a stream is lost if no other host knows where it began."""
        services = {origin.software.service for origin in self._unshared}
        return any(map(self._has_several_versions, services))

    def _take_unwritten(self, recorded: list[StreamOrigin]) -> list[StreamOrigin]:
        """Return the origins to be written: new ones, and all of a service at first."""
        oldest = self._clock.monotonic() - self._kept_s()
        while self._own and self._own[0][0] < oldest:
            self._own.popleft()
        services = {origin.software.service for _, origin in self._own}
        written = {one for one in services if self._has_several_versions(one)}
        first = written - self._written_services
        self._written_services = written
        new = [one for one in recorded if one.software.service in written - first]
        return new + [
            origin for _, origin in self._own if origin.software.service in first
        ]

    def answer(self, request_id: str) -> StreamOrigin:
        """Return what this host knows of a stream, for another host.

        :param request_id: id of the request that brought the first event
        """
        return StreamOrigin(request_id, self.get(request_id))

    def handle(self, host: str, origin: StreamOrigin) -> None:
        """Keep an origin that another host sent, and finish a lookup of it.

        :param host: address of that host
        :param origin: origin, or that the host does not know it
        """
        self.adopt(origin)
        lookup = self._lookups.get(origin.request_id)
        if lookup is None:
            return
        lookup.unanswered.discard(host)
        if origin.software is not None:
            lookup.software = origin.software
        if origin.software is not None or not lookup.unanswered:
            lookup.done.set()

    def _ask(self, request_id: str, homes: list[str]) -> Software | None:
        lookup = self._lookups.get(request_id)
        if lookup is None:
            lookup = self._lookups[request_id] = _Lookup(homes)
        try:
            self._send_lookup(request_id, homes)
            if not lookup.done.wait(RESEND_DELAY_S):
                self._send_lookup(request_id, lookup.unanswered)
                lookup.done.wait(LOOKUP_TIMEOUT_S - RESEND_DELAY_S)
            return lookup.software
        finally:
            self._lookups.pop(request_id, None)

    def _send_lookup(self, request_id: str, hosts: Iterable[str]) -> None:
        for host in hosts:
            self._link.send_origin_lookup(host, request_id)

    def _homes(self, request_id: str) -> list[str]:
        known = self._link.known_hosts() if self._link is not None else {}
        names = frozenset((*known, self._host))
        if names != self._ring_names:
            self._ring, self._ring_names = HashRing(names), names
        return self._ring.successors(request_id, HOMES)

    def _keep(self, request_id: str, software: Software) -> None:
        now = self._clock.monotonic()
        self._kept[request_id] = (software, now)
        self._kept.move_to_end(request_id)
        oldest_at = now - self._kept_s()
        while len(self._kept) > MAX_KEPT or self._first_kept_at() < oldest_at:
            self._kept.popitem(last=False)

    def _first_kept_at(self) -> float:
        return next(iter(self._kept.values()))[1]

    def get(self, request_id: str) -> Software | None:
        """Return the software that began a stream, ``None`` if it is not known here.

        :param request_id: id of the request that brought the first event
        """
        software, at = self._kept.get(stream_name(request_id), (None, 0.0))
        return software if at > self._clock.monotonic() - self._kept_s() else None
