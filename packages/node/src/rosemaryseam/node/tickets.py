"""Parameters of a grant request, the grant held for it, and the call that uses it."""

from __future__ import annotations

import abc
from typing import NamedTuple


class Ticket(NamedTuple):
    """Holds the parameters of a request for a grant.

    ``prefix`` is a hash of the start of the prompt, for placement by affinity; it may
    be empty. ``excluded`` names upstreams that must not serve this request.
    ``arrived`` is in seconds on the monotonic clock. ``resumed`` is set when part of
    the answer has been received already; the wait then starts again.
    """

    pool: str
    request_class: str
    workspace: str
    prefix: str
    arrived: float
    max_wait_s: float
    excluded: frozenset[str] = frozenset()
    resumed: bool = False


class HeldGrant(NamedTuple):
    """Describes a grant that a request of this host uses.

    ``since`` is the time of the grant in seconds on the monotonic clock.
    """

    key: str
    partition: str
    upstream: str
    request_class: str
    workspace: str
    since: float


class RunningCall(abc.ABC):
    """Gives the grant task access to the call that uses a grant."""

    @property
    @abc.abstractmethod
    def event_count(self) -> int:
        """Number of events of the answer received so far."""

    @abc.abstractmethod
    def preempt(self) -> None:
        """End the call because a higher tier needs its slot; must not block."""


class Outcome(NamedTuple):
    """Describes how a granted call ended.

    ``first_token_s`` is the time to the first token in seconds, negative if none came.
    """

    name: str
    first_token_s: float = -1.0
    events: int = 0
