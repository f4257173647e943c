"""Quarantine of prompt parts and requests that crash the upstreams they reach."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.crashevidence import (
    Charge,
    Crash,
    Evidence,
    charge_suspect,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from rosemaryseam.policy.crashevidence import Suspect

TIE_CRASHES = 8  # after which one of several equal suspects is quarantined
SETTLE_S = 0.1  # until all requests that a crash broke off are reported
EVIDENCE_TTL_S = 600.0  # age up to which a crash counts
MAX_CRASHES = 64  # kept at the same time
MAX_ANSWERED_PARTS = 4096  # kept with the times of their last answer and begin
FIRST_QUARANTINE_S = 120.0  # doubles each time the part crashes engines afterwards
MAX_QUARANTINE_S = 3600.0
MAX_QUARANTINES = 256  # remembered, in force or over


class Quarantine(NamedTuple):
    """A part that gets no engine until ``until``, in seconds of the monotonic clock.

    ``duration_s`` is how long it lasts altogether.
    """

    digest: int
    until: float
    duration_s: float

    @property
    def began_at(self) -> float:
        """When the quarantine began, in seconds of the monotonic clock."""
        return self.until - self.duration_s


class _LastTimes:
    """Keeps the last time of something by part, for the parts that had it last."""

    def __init__(self) -> None:
        self._times: OrderedDict[int, float] = OrderedDict()

    def record(self, digests: Iterable[int], at: float) -> None:
        for digest in digests:
            if at >= self.get(digest):
                self._times[digest] = at
                self._times.move_to_end(digest)
        while len(self._times) > MAX_ANSWERED_PARTS:
            self._times.popitem(last=False)

    def get(self, digest: int) -> float:
        return self._times.get(digest, -math.inf)


class PromptQuarantine:
    """Finds the parts that engines' crashes have in common and excludes them.

    A part is suspected of the crashes since a request with it was last answered. Of
    several suspects, the one with the most crashes is quarantined, then the one whose
    last answer, or else whose last begin of an answer, is the longest ago, then the one
    that fewer requests have, then the one that stands later in its prompts, as earlier
    parts are shared by more requests. A crash with a quarantined part is no evidence
    against the other parts of its prompts.

    Whole requests are suspects like parts. As a request has at most as many crashes as
    each part of its prompt, a part that explains all of them and more is quarantined
    rather than the request. A crash with a quarantined request stays evidence against
    parts that have further crashes.

    :param on_quarantine: called with each part that this object quarantines itself, and
        with the evidence against it
    """

    def __init__(
        self,
        on_quarantine: Callable[[Quarantine, Evidence], None] = lambda *_: None,
    ) -> None:
        self._on_quarantine = on_quarantine
        self._crashes: OrderedDict[object, Crash] = OrderedDict()
        self._answered = _LastTimes()
        self._begun = _LastTimes()
        self._quarantines: OrderedDict[int, Quarantine] = OrderedDict()
        self._decides_at: float | None = None

    def record_answer(self, digests: Sequence[int], at: float) -> list[int]:
        """Record that an engine answered a request with these parts.

        It disproves the quarantines that began before; return the digests of their
        parts, which get engines again.

        :param digests: digests of the parts
        :param at: time of the answer, in seconds on the monotonic clock
        """
        self._answered.record(digests, at)
        disproved = [
            digest
            for digest in digests
            if digest in self._quarantines and at > self._quarantines[digest].began_at
        ]
        for digest in disproved:
            self._withdraw(digest, at)
        return disproved

    def record_begin(self, digests: Iterable[int], at: float) -> None:
        """Record that an engine began to answer a request with these parts.

        :param digests: digests of the parts
        :param at: time of the first event, in seconds on the monotonic clock
        """
        self._begun.record(digests, at)

    def is_suspect(self, digest: int) -> bool:
        """Return whether a recorded crash may be due to a digest.

        :param digest: digest of a part or of a request
        """
        if digest in self._quarantines:
            return True
        return any(digest in crash.suspects for crash in self._crashes.values())

    def last_answered_at(self, digest: int) -> float:
        """Return when a request with a part was last answered, or minus infinity.

        :param digest: digest of the part
        """
        return self._answered.get(digest)

    def last_begun_at(self, digest: int) -> float:
        """Return when an answer to a part last began, or minus infinity.

        :param digest: digest of the part
        """
        return self._begun.get(digest)

    def record_crash(
        self, engine: object, suspects: Mapping[int, Suspect], at: float
    ) -> None:
        """Record a crash, or further requests that the same crash broke off.

        :param engine: identifies the incarnation of the engine
        :param suspects: parts of the broken-off prompts, by digest
        :param at: time of the crash, in seconds on the monotonic clock
        """
        crash = self._crashes.get(engine)
        if crash is None:
            crash = self._crashes[engine] = Crash(at)
            while len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        crash.add(suspects)
        if self._decides_at is None:
            self._decides_at = at + SETTLE_S

    def find(self, digests: Sequence[int], now: float) -> Quarantine | None:
        """Return the quarantine of the first quarantined part of a prompt.

        :param digests: digests of the parts
        :param now: seconds on the monotonic clock
        """
        self._update(now)
        if not self._quarantines:
            return None
        in_force = (self._in_force(digest, now) for digest in digests)
        return next((entry for entry in in_force if entry is not None), None)

    def in_force(self, now: float) -> list[Quarantine]:
        """Return all quarantines that are in force.

        :param now: seconds on the monotonic clock
        """
        self._update(now)
        return [entry for entry in self._quarantines.values() if entry.until > now]

    def adopt(self, quarantine: Quarantine, now: float) -> bool:
        """Apply a quarantine that another host found; return whether it is new here.

        It does not apply if the part was answered since it began.

        :param quarantine: its ``until`` is a time on this host's clock
        :param now: seconds on the monotonic clock
        """
        if quarantine.until <= now or self._in_force(quarantine.digest, now):
            return False
        if self._answered.get(quarantine.digest) > quarantine.began_at:
            return False
        self._put(quarantine)
        self._mark_explained(now)
        return True

    def is_in_force(self, digest: int, now: float) -> bool:
        """Return whether a part is quarantined.

        :param digest: digest of the part
        :param now: seconds on the monotonic clock
        """
        return self._in_force(digest, now) is not None

    def release(self, digest: int, now: float) -> bool:
        """End a quarantine that another host knows to be disproved.

        :param digest: digest of the part
        :param now: seconds on the monotonic clock
        :return: whether it was in force
        """
        if not self.is_in_force(digest, now):
            return False
        # Its crashes have another cause, as if the part had been answered.
        self._answered.record((digest,), now)
        self._withdraw(digest, now)
        return True

    def _withdraw(self, digest: int, now: float) -> None:
        """End a quarantine and let the crashes that it explained be judged again."""
        del self._quarantines[digest]
        for crash in self._crashes.values():
            crash.acquit(digest)
        if self._decides_at is None:
            self._decides_at = now

    def _in_force(self, digest: int, now: float) -> Quarantine | None:
        entry = self._quarantines.get(digest)
        return entry if entry is not None and entry.until > now else None

    def _update(self, now: float) -> None:
        """Quarantine suspects once all that a crash broke off is reported."""
        if self._decides_at is None or now < self._decides_at:
            return
        self._mark_explained(now)
        settled_at = now - SETTLE_S
        unsettled = any(crash.at > settled_at for crash in self._crashes.values())
        self._decides_at = now + SETTLE_S if unsettled else None
        while (found := self._worst_suspect(settled_at)) is not None:
            digest, evidence = found
            known = self._quarantines.get(digest)
            duration_s = FIRST_QUARANTINE_S
            if known is not None:
                duration_s = min(MAX_QUARANTINE_S, 2 * known.duration_s)
            quarantine = Quarantine(digest, now + duration_s, duration_s)
            self._put(quarantine)
            self._mark_explained(now)
            self._on_quarantine(quarantine, evidence)

    def _put(self, quarantine: Quarantine) -> None:
        self._quarantines[quarantine.digest] = quarantine
        self._quarantines.move_to_end(quarantine.digest)
        while len(self._quarantines) > MAX_QUARANTINES:
            self._quarantines.popitem(last=False)

    def _mark_explained(self, now: float) -> None:
        """Mark the crashes with a quarantined part and drop those that are too old."""
        for engine, crash in list(self._crashes.items()):
            for digest in crash.suspects:
                if self.is_in_force(digest, now):
                    crash.convict(digest)
            if crash.at < now - EVIDENCE_TTL_S:
                del self._crashes[engine]

    def _worst_suspect(self, settled_at: float) -> tuple[int, Evidence] | None:
        """Return the part to quarantine by the crashes up to a time, if any, and why.

        Suspects that nothing tells apart get some more time to be answered.
        """
        unexplained = [
            crash
            for crash in self._crashes.values()
            if crash.at <= settled_at and not crash.explained
        ]
        charges = self._charges(unexplained)
        worst = max(charges, key=_rank, default=None)
        if worst is None:
            return None
        if worst.is_request:
            wider = [charge for charge in charges if charge.explains_more_than(worst)]
            worst = max(wider, key=_rank, default=worst)
        is_tie = any(
            charge.rank == worst.rank and charge.crashes == worst.crashes
            for charge in charges
            if charge is not worst
        )
        if is_tie and worst.rank[0] < TIE_CRASHES:
            return None
        requests = sum(crash.suspects[worst.digest].requests for crash in worst.crashes)
        evidence = Evidence(len(worst.crashes), requests, len(charges), is_tie)
        return worst.digest, evidence

    def _charges(self, unexplained: Sequence[Crash]) -> list[Charge]:
        """Return what there is against each part that crashes enough engines."""
        charges = (
            charge_suspect(
                digest,
                unexplained,
                self._answered.get(digest),
                self._begun.get(digest),
                # A part that was quarantined before needs no further proof.
                needs_proof=digest not in self._quarantines,
            )
            for digest in {one for crash in unexplained for one in crash.suspects}
        )
        return [charge for charge in charges if charge is not None]


def _rank(charge: Charge) -> tuple[float, ...]:
    return charge.rank
