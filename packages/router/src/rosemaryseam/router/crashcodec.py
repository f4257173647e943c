"""Encoding of reports on crashes and quarantined parts in messages between hosts."""

from __future__ import annotations

import math

from rosemaryseam.router.crashreports import CrashReport, QuarantinedPart, SuspectPart

UNSET = -1  # encodes an infinite time


def encode_crash(entry: CrashReport) -> dict[str, object]:
    """Return the fields of a report of a crash.

    :param entry: report to encode
    """
    return {
        'id': entry.upstream,
        'born': entry.born,
        'ageMs': _to_ms(entry.age_s),
        'toCollect': entry.to_collect,
        'collected': entry.collected,
        'parts': [
            {
                'digest': part.digest,
                'position': part.position,
                'requests': part.requests,
                'answeredMs': _to_ms(part.answered_s),
                'begunMs': _to_ms(part.begun_s),
                'isRequest': part.is_request,
            }
            for part in entry.parts
        ],
    }


def decode_crash(entry: object) -> CrashReport:
    """Return a report of a crash.

    :param entry: reader of the fields
    """
    parts = tuple(
        SuspectPart(
            part.digest,
            part.position,
            part.requests,
            _to_seconds(part.answeredMs),
            _to_seconds(part.begunMs),
            part.isRequest,
        )
        for part in entry.parts
    )
    return CrashReport(
        entry.id,
        entry.born,
        entry.ageMs / 1000,
        parts,
        entry.toCollect,
        entry.collected,
    )


def encode_quarantined(entry: QuarantinedPart) -> dict[str, object]:
    """Return the fields of a quarantined part.

    :param entry: part to encode
    """
    return {
        'digest': entry.digest,
        'leftMs': _to_ms(entry.left_s),
        'durationMs': _to_ms(entry.duration_s),
    }


def decode_quarantined(entry: object) -> QuarantinedPart:
    """Return a quarantined part.

    :param entry: reader of the fields
    """
    return QuarantinedPart(entry.digest, entry.leftMs / 1000, entry.durationMs / 1000)


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000)) if seconds < math.inf else UNSET


def _to_seconds(value: int) -> float:
    return math.inf if value == UNSET else value / 1000
