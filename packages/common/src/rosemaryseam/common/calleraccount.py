"""The memory and connections that callers occupy, and who yields when they run out."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.turnedaway import TurnedAwayLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics

_Rank = tuple[int, float] | None  # lowest first; ``None`` never yields

STALL_S = 1.0  # without a byte, after which an unfinished request yields first
ANSWER_S = 0.2  # for a refused caller to see its answer before its connection yields
SMALL_BYTES = 262_144  # held by one caller; larger ones leave room for these
LARGE_SHARE = 0.75  # of the limit, for callers that hold more than that
WAITING_CONNECTIONS = 64  # accepted beyond those that fit, until others yield to them
MAX_WAIT_S = 1.0  # for an accepted connection until others yield to it
WAIT_INTERVAL_S = 0.05  # between two tries


class Stage(enum.IntEnum):
    """What a connection does, in the order in which connections yield."""

    REFUSED = 0  # its answer was written, what it still sends is discarded
    IDLE = 1  # there is no request
    HEAD = 2
    BODY = 3
    RUNNING = 4  # the request is complete; it may have reached an upstream


class AccountCosts(NamedTuple):
    """What a process allocates beside the bytes of requests, in bytes.

    ``connection`` includes the bytes that the kernel receives before they are read,
    ``request`` a connection to an upstream and the parts of an answer on their way.
    A head takes ``head_factor`` times its size and ``header`` for each of its headers.
    """

    connection: int = 49_152
    request: int = 98_304
    head_factor: int = 4
    header: int = 256


DEFAULT_COSTS = AccountCosts()


class NoRoomError(Exception):
    """Raised when a caller needs memory and no other caller yields enough of it."""


class Holder(abc.ABC):
    """A connection of a caller, which occupies memory of the account.

    ``held_bytes`` is what the account has reserved for it. ``since`` is the monotonic
    time in seconds at which its stage began, or of its last byte in the stage. ``peer``
    is the address of the caller.
    """

    peer = ''
    held_bytes = 0
    stage = Stage.IDLE
    since = 0.0

    @abc.abstractmethod
    def give_way(self, reason: str) -> None:
        """Release all memory and begin to close; called by another greenlet.

        :param reason: text for the answer and the log
        """


class CallerAccount:
    """Counts the memory that is allocated for callers, up to a limit.

    :param limit: memory for all callers in bytes
    :param clock: clock of the process
    :param metrics: counters of the process
    :param name: prefix of the metrics
    :param costs: what is allocated beside the bytes of requests
    """

    def __init__(
        self,
        limit: int,
        clock: Clock,
        metrics: Metrics,
        name: str = 'caller',
        costs: AccountCosts = DEFAULT_COSTS,
    ) -> None:
        self.limit = limit
        self.costs = costs
        self.reserved_bytes = 0
        self._clock = clock
        self.turned_away = TurnedAwayLog(name, clock, metrics)
        self._holders: set[Holder] = set()
        metrics.gauge(f'{name}_memory_bytes', lambda: self.reserved_bytes)
        metrics.gauge(f'{name}_memory_limit_bytes', lambda: self.limit)

    @property
    def max_connections(self) -> int:
        """The number of connections that a server may accept at once.

        What the kernel receives for a connection takes memory before it is added.
        """
        return self.limit // self.costs.connection + WAITING_CONNECTIONS

    def add(self, holder: Holder, pause: Callable[[float], None] | None = None) -> None:
        """Reserve what a new connection takes.

        :param holder: the connection
        :param pause: waits for a number of seconds, if the connection may wait until
            others yield
        :raises NoRoomError: if no other connection yields in time
        """
        until = self._clock.monotonic() + MAX_WAIT_S
        while not self._reserve(holder, self.costs.connection):
            if pause is None or self._clock.monotonic() >= until:
                raise self._no_room(holder)
            pause(WAIT_INTERVAL_S)
        self._holders.add(holder)

    def remove(self, holder: Holder) -> None:
        """Release what a connection held.

        :param holder: the connection, which may have been removed before
        """
        self._holders.discard(holder)
        self.reserved_bytes -= holder.held_bytes
        holder.held_bytes = 0

    def resize(self, holder: Holder, count: int) -> None:
        """Set what a connection holds; others yield if there is no room for more.

        :param holder: the connection
        :param count: number of bytes that it holds from now on
        :raises NoRoomError: if no other connection yields; nothing is changed then
        """
        if not self._reserve(holder, count):
            raise self._no_room(holder)

    def head_bytes(self, size: int, headers: int) -> int:
        """Return what the head of a request takes, decoded and as it is forwarded.

        :param size: size of the head in bytes
        :param headers: number of its headers
        """
        return size * self.costs.head_factor + headers * self.costs.header

    def free_connection(self, asking: Holder | None = None) -> bool:
        """Let one connection yield to another; return whether one did.

        :param asking: connection that needs a descriptor, ``None`` for one that waits
            to be accepted
        """
        now = self._clock.monotonic()
        victim = choose_connection(self._holders, asking, now)
        if victim is None:
            return False
        self._evict(victim, 'connections')
        return True

    def _reserve(self, holder: Holder, count: int) -> bool:
        """Set what a connection holds, if there is room or others yield."""
        limit = self.limit if count <= SMALL_BYTES else int(self.limit * LARGE_SHARE)
        needed = self.reserved_bytes + count - holder.held_bytes - limit
        if needed > 0 and count > holder.held_bytes:
            now = self._clock.monotonic()
            kept = self.costs.connection
            victims = choose_for_memory(self._holders, holder, count, needed, kept, now)
            for victim in victims:
                self._evict(victim, 'memory')
            if not victims:
                return False
        self.reserved_bytes += count - holder.held_bytes
        holder.held_bytes = count
        return True

    def _no_room(self, holder: Holder) -> NoRoomError:
        self.turned_away.record('memory', holder.peer, stage=holder.stage.name)
        return NoRoomError('the memory for callers is in use')

    def _evict(self, victim: Holder, resource: str) -> None:
        self.turned_away.record(
            f'yielded_{resource}', victim.peer, stage=victim.stage.name
        )
        reason = f'the {resource} for callers are in use'
        if victim.stage is Stage.BODY:
            # It is still answered; the memory of its request is free before that.
            victim.give_way(reason)
            victim.stage = Stage.REFUSED
            victim.since = self._clock.monotonic()
            self.resize(victim, min(victim.held_bytes, self.costs.connection))
        else:
            self.remove(victim)
            victim.give_way(reason)


def choose_for_memory(
    holders: Iterable[Holder],
    asking: Holder,
    count: int,
    needed: int,
    kept: int,
    now: float,
) -> list[Holder]:
    """Return the connections that yield their memory, none if that is not enough.

    First come unfinished requests that have stalled, the largest of them first. A
    caller that holds little takes the place of connections without a request next, also
    of those whose request was refused, then of unfinished requests that hold more; a
    large one the other way round. If it holds little and its request is complete, all
    other unfinished requests follow. A complete request never yields.

    :param holders: all connections
    :param asking: the connection that needs memory
    :param count: bytes that it would hold
    :param needed: bytes that have to become free
    :param kept: bytes that a connection keeps when its unfinished request is refused
    :param now: monotonic time in seconds
    """
    is_small = count <= SMALL_BYTES
    idle, larger = (1, 2) if is_small else (2, 1)
    is_complete = asking.stage is Stage.RUNNING

    def rank(holder: Holder) -> _Rank:
        age = now - holder.since
        if holder.stage is Stage.RUNNING:
            return None
        if holder.stage is Stage.REFUSED:
            return (idle, holder.since) if age >= ANSWER_S else None
        if holder.stage is Stage.IDLE:
            return idle, holder.since
        if age >= STALL_S:
            return 0, -holder.held_bytes
        if holder.held_bytes > count:
            return larger, -holder.held_bytes
        return (3, -holder.held_bytes) if is_small and is_complete else None

    victims = []
    for holder in _ranked(holders, asking, rank):
        if needed <= 0:
            break
        victims.append(holder)
        needed -= holder.held_bytes - (kept if holder.stage is Stage.BODY else 0)
    return victims if needed <= 0 else []


def choose_connection(
    holders: Iterable[Holder], asking: Holder | None, now: float
) -> Holder | None:
    """Return the connection that yields its place, or ``None`` if none does.

    A caller that was refused yields first, then a connection without a request, then an
    unfinished request that has stalled, and among them the one for which nothing came
    for longest.

    :param holders: all connections
    :param asking: the connection that needs a place, ``None`` if it has none yet
    :param now: monotonic time in seconds
    """

    def rank(holder: Holder) -> _Rank:
        if holder.stage is Stage.RUNNING:
            return None
        if holder.stage is Stage.REFUSED:
            return 0, holder.since
        stalled = now - holder.since >= STALL_S
        if holder.stage is Stage.BODY:
            return (2, holder.since) if stalled else None
        return (1 if stalled else 3), holder.since

    return next(iter(_ranked(holders, asking, rank)), None)


def _ranked(
    holders: Iterable[Holder],
    asking: Holder | None,
    rank: Callable[[Holder], _Rank],
) -> list[Holder]:
    """Return the holders that may yield in their order, without the one that asks."""
    ranked = [(rank(holder), holder) for holder in holders if holder is not asking]
    yielding = [entry for entry in ranked if entry[0] is not None]
    return [holder for _, holder in sorted(yielding, key=lambda entry: entry[0])]
