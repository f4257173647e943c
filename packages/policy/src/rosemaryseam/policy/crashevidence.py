"""Evidence that a prompt part or a request crashes upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Numbers of crashes without an answer in between after which a part is quarantined, and
# the seconds that they must be apart: crashes at one time may have another cause.
PROOFS = ((3, 0.5), (4, 0.1))
RANKING_INTERVAL_S = 0.1  # between two crashes that count, to compare suspects
# Crashes of a part beside those that a quarantined request explains, after which all
# of them count: fewer for a part that was never answered.
MIN_OTHER_CRASHES = 2
MIN_OTHER_CRASHES_UNANSWERED = 1


class Suspect(NamedTuple):
    """A part of the prompts that a crash broke off.

    ``position`` is its place in its prompts, 0 first, and ``requests`` the number of
    requests with the part that were broken off. ``is_request`` tells that it is not a
    part but a whole request, which may have been sent more than once.
    """

    position: int
    requests: int
    is_request: bool = False


class Crash:
    """A crash of an engine with the parts of the prompts that it broke off.

    It is explained once one of the parts is quarantined, and explained by a request
    once one of the requests is, unless an answer disproves that.

    :param at: time of the crash
    """

    def __init__(self, at: float) -> None:
        self.at = at
        self.suspects: dict[int, Suspect] = {}
        self._convicted: set[int] = set()

    @property
    def explained(self) -> bool:
        """Whether one of the parts was quarantined."""
        return any(not self.suspects[one].is_request for one in self._convicted)

    @property
    def explained_by_request(self) -> bool:
        """Whether one of the requests was quarantined."""
        return any(self.suspects[one].is_request for one in self._convicted)

    def convict(self, digest: int) -> None:
        """Record that one of the suspects was quarantined."""
        self._convicted.add(digest)

    def acquit(self, digest: int) -> None:
        """Record that a suspect did not cause the crash, as it was answered."""
        self._convicted.discard(digest)

    def add(self, suspects: Mapping[int, Suspect]) -> None:
        """Add the parts of further requests that this crash broke off."""
        for digest, suspect in suspects.items():
            known = self.suspects.get(digest, Suspect(0, 0))
            self.suspects[digest] = suspect._replace(
                requests=known.requests + suspect.requests
            )


class Charge(NamedTuple):
    """The crashes that a part may have caused.

    ``rank`` is greater the more likely the part caused them: their number, how long ago
    it was answered and begun, how few requests have it, and its position.
    """

    digest: int
    is_request: bool
    rank: tuple[float, ...]
    crashes: list[Crash]

    def explains_more_than(self, request: Charge) -> bool:
        """Return whether a part may have caused all crashes of a request and more."""
        if self.is_request or len(self.crashes) <= len(request.crashes):
            return False
        return all(crash in self.crashes for crash in request.crashes)


class Evidence(NamedTuple):
    """Why a part was quarantined.

    ``crashes`` is the number of crashes charged to it, ``requests`` that of its
    requests which they broke off, and ``suspects`` that of the parts with enough
    crashes for a quarantine. ``is_tie`` tells that nothing else set it apart from
    another one of them.
    """

    crashes: int
    requests: int
    suspects: int
    is_tie: bool


def charge_suspect(
    digest: int,
    unexplained: Sequence[Crash],
    answered_at: float,
    begun_at: float,
    *,
    needs_proof: bool,
) -> Charge | None:
    """Return what there is against a suspect, if it crashes enough upstreams.

    :param digest: digest of a part or of a request
    :param unexplained: crashes that no quarantined part explains
    :param answered_at: time of the last answer to the suspect, or minus infinity
    :param begun_at: time at which an answer last began, or minus infinity
    :param needs_proof: whether several crashes are needed
    """
    crashes = [
        crash
        for crash in unexplained
        if digest in crash.suspects and crash.at > answered_at
    ]
    is_request = any(crash.suspects[digest].is_request for crash in crashes)
    others = [crash for crash in crashes if not crash.explained_by_request]
    if is_request or len(others) < _other_crashes_needed(answered_at):
        crashes = others
    times = [crash.at for crash in crashes]
    if not times or (needs_proof and not _is_proof(times)):
        return None
    suspects = [crash.suspects[digest] for crash in crashes]
    rank = (
        _count_apart(times, RANKING_INTERVAL_S),
        -answered_at,
        -begun_at,
        -sum(suspect.requests for suspect in suspects),
        max(suspect.position for suspect in suspects),
    )
    return Charge(digest, is_request, rank, crashes)


def _other_crashes_needed(answered_at: float) -> int:
    was_answered = answered_at > -math.inf
    return MIN_OTHER_CRASHES if was_answered else MIN_OTHER_CRASHES_UNANSWERED


def _is_proof(times: Sequence[float]) -> bool:
    return any(_count_apart(times, apart_s) >= count for count, apart_s in PROOFS)


def _count_apart(times: Iterable[float], interval_s: float) -> int:
    """Return the number of times, without those that follow another one closely."""
    count, last = 0, -math.inf
    for at in sorted(times):
        if at - last >= interval_s:
            count, last = count + 1, at
    return count
