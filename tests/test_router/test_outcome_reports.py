"""Tests which outcomes a host reports while it may be cut off itself."""

from __future__ import annotations

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.router.outcomereports import REPORT_DELAY_S, OutcomeReports
from rosemaryseam.router.upstreams import Upstream

UPSTREAM = Upstream('one', 1, 'work', Address('10.0.0.1', 80), 'a', 4)


class Path:
    """What a host knows of its path to upstreams."""

    def __init__(self) -> None:
        self.partitioned = False
        self.contact_at = -1.0

    def has_contact_since(self, at: float) -> bool:
        """Return whether an upstream was reached after a time."""
        return self.contact_at > at

    def is_confirmed_down(self, *_: object) -> bool:
        """Return that no other host has tried the upstream."""
        return False


# Guards against crashes that are reported as cancelled, so that no prompt part is
# quarantined: such a request makes its host suspect itself (review/5).
DECISIONS: list[tuple[str, str, bool, bool, bool, str]] = [
    ('a crash, contact since', 'crashed', True, True, False, 'crashed'),
    ('a crash, no contact', 'crashed', True, False, False, 'cancelled'),
    ('a crash, cut off by now', 'crashed', True, True, True, 'cancelled'),
    ('a crash of an unsuspected host', 'crashed', False, False, False, 'crashed'),
    ('a failed connect', 'unreachable', True, True, False, 'cancelled'),
    ('a failed answer', 'failed', True, True, False, 'cancelled'),
    ('an answer', 'done', True, False, False, 'done'),
]


@pytest.mark.parametrize(
    ('name', 'outcome', 'suspect', 'contact', 'partitioned', 'expected'),
    DECISIONS,
    ids=[row[0] for row in DECISIONS],
)
def test_outcomes_of_a_host_that_may_be_cut_off(
    name: str,
    outcome: str,
    suspect: bool,
    contact: bool,
    partitioned: bool,
    expected: str,
) -> None:
    clock, path, sent = ManualClock(), Path(), []
    reports = OutcomeReports(path, lambda: suspect, lambda: True, clock)
    reports.report(UPSTREAM, outcome, sent.append)
    clock.advance(0.1)
    if contact:
        path.contact_at = clock.monotonic()
    path.partitioned = partitioned
    reports.settle()
    clock.advance(REPORT_DELAY_S + 0.1)
    reports.settle()
    assert sent == [expected]
