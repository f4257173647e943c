"""Decides when a host may claim a duty and how long its permission to act lasts."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

ERA_BITS = 40  # of a fence token below the era: revisions of the store in one era
MARGIN_SHARE = 1 / 6  # of the lease: a call ends this long before the key can vanish
RENEWAL_SHARE = 1 / 3  # of the lease, between two renewals
CLAIM_STEP_S = 0.5  # between the claims of two candidates for the same duty
UNREACHABLE_S = 3.0  # without answers of the API, until the duty is handed over
HANDOVER_PAUSE_S = 30.0  # until the same host hands the duty over again
MAX_PATIENCE_FACTOR = 8  # if no host can reach the API, the duty must not circulate


class Permission(NamedTuple):
    """The permission of a duty's holder to act.

    ``fence`` increases whenever the holder changes. ``valid_until`` is a time on the
    monotonic clock, by which a call must have ended.
    """

    fence: int
    valid_until: float


def fence_token(era: int, revision: int) -> int:
    """Return the fence token of a claim; it also increases with the store's era.

    :param era: era of the store
    :param revision: revision at which the duty's key was created
    """
    return (era << ERA_BITS) + revision


def permission_end(renewal_sent_at: float, lease_s: float) -> float:
    """Return when a permission ends.

    The lease runs from the arrival of a renewal, which is not before it was sent.

    :param renewal_sent_at: time directly before the renewal was sent
    :param lease_s: time to live of the lease in seconds
    """
    return renewal_sent_at + lease_s * (1 - MARGIN_SHARE)


def renewal_due_at(renewal_sent_at: float, lease_s: float) -> float:
    """Return when a lease is to be renewed.

    :param renewal_sent_at: time at which the latest renewal was sent
    :param lease_s: time to live of the lease in seconds
    """
    return renewal_sent_at + lease_s * RENEWAL_SHARE


class ClaimTiming:
    """Decides when a host may claim a duty.

    Holders must not act in the order A, B, A within the time of a lease. Therefore a
    host waits for that time after its process started, after its own last call if it
    has lost the duty since, and after it learned of a new era of the store, as a
    holder of the era before may act until then.

    :param lease_s: time to live of the duty's lease in seconds
    :param started_at: monotonic time at which the process started
    """

    def __init__(self, lease_s: float, started_at: float) -> None:
        self._lease_s = lease_s
        self._barred_until = started_at + lease_s
        self._absent_since: float | None = None
        self.era: int | None = None
        self.era_learned_at = started_at

    def note_era(self, now: float, era: int) -> None:
        """Take note of the era of an answer of the store.

        :param now: monotonic time
        :param era: era of the store
        """
        if self.era is None or era > self.era:
            self.era = era
            self.era_learned_at = now
            self._barred_until = max(self._barred_until, now + self._lease_s)

    def note_lost(self, last_call_at: float) -> None:
        """Take note that this host has lost the duty.

        :param last_call_at: monotonic time at which its last call ended
        """
        self._barred_until = max(self._barred_until, last_call_at + self._lease_s)

    def note_key(self, now: float, *, present: bool) -> None:
        """Take note of the duty's key.

        :param now: monotonic time
        :param present: whether the key exists
        """
        if present:
            self._absent_since = None
        elif self._absent_since is None:
            self._absent_since = now

    def claim_at(self, place: int) -> float:
        """Return the monotonic time from which this host may claim the duty.

        :param place: place of this host among the candidates, 0 first
        """
        if self._absent_since is None:
            return math.inf
        # Hosts are also barred together, so that they are ranked after that, too.
        return max(self._absent_since, self._barred_until) + place * CLAIM_STEP_S


class HandoverTiming:
    """Decides when a holder that cannot reach the API hands its duty over.

    The patience doubles with each change of the holder in the last
    :data:`HANDOVER_PAUSE_S`, as all hosts may be unable to reach the API.
    """

    def __init__(self) -> None:
        self._changes: deque[float] = deque(maxlen=4)
        self._handed_over_at = -math.inf

    def note_change(self, now: float) -> None:
        """Take note that another host holds the duty than before.

        :param now: monotonic time
        """
        self._changes.append(now)

    def note_handover(self, now: float) -> None:
        """Take note that this host hands the duty over.

        :param now: monotonic time
        """
        self._handed_over_at = now

    def is_due(self, now: float, unanswered_since: float | None) -> bool:
        """Return whether the duty is to be handed over.

        :param now: monotonic time
        :param unanswered_since: time of the first call since the API's last answer
        """
        if unanswered_since is None or now < self._handed_over_at + HANDOVER_PAUSE_S:
            return False
        recent = sum(at > now - HANDOVER_PAUSE_S for at in self._changes)
        # The change by which this host became the holder does not count.
        factor = min(2 ** max(0, recent - 1), MAX_PATIENCE_FACTOR)
        return now - unanswered_since >= UNREACHABLE_S * factor
