"""What a request asks of a dispatcher, the grant it gets, and the call's end."""

from __future__ import annotations

import abc
from typing import NamedTuple


class Ticket(NamedTuple):
    """What a request asks of the dispatcher. ``arrived`` is monotonic seconds.

    ``resumed`` tells that a part of the answer has come already: the wait begins anew.
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
    """A grant that a request uses."""

    key: str
    partition: str
    upstream: str
    request_class: str
    workspace: str
    since: float


class RunningCall(abc.ABC):
    """What the task knows of the call that uses a grant."""

    @property
    @abc.abstractmethod
    def event_count(self) -> int:
        """Events of the answer that have come."""

    @abc.abstractmethod
    def preempt(self) -> None:
        """End the call because a higher tier needs the slot; must not block."""


class Outcome(NamedTuple):
    """How a granted call ended. ``first_token_s`` is negative without a token."""

    name: str
    first_token_s: float = -1.0
    events: int = 0
