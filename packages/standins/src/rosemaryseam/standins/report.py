"""Summarises observations by stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from hdrh.histogram import HdrHistogram

from rosemaryseam.standins.caller import (
    FAILED,
    INCOMPLETE,
    MIXED,
    SHED,
    UNKNOWN,
    WHOLE,
    Observation,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rosemaryseam.standins.scenario import Scenario, Stream

MAX_RECORDED_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


class StreamReport(TypedDict):
    """Counts and latencies of one stream of requests, with times in milliseconds."""

    offered: int
    completed: int
    attainment: float
    first_p50_ms: int
    first_p95_ms: int
    shed: int
    unknown: int
    failed: int
    incomplete: int
    mixed: int
    retried: int
    tokens: int


def build_report(
    scenario: Scenario, observations: Iterable[Observation]
) -> dict[str, StreamReport]:
    """Return a report by stream.

    :param scenario: scenario that was sent
    :param observations: observations of the callers
    """
    by_stream: dict[str, list[Observation]] = {
        stream.name: [] for stream in scenario.streams
    }
    for observation in observations:
        by_stream[observation.stream].append(observation)
    return {
        stream.name: _report_stream(stream, by_stream[stream.name])
        for stream in scenario.streams
    }


def format_table(report: Mapping[str, Mapping[str, float]]) -> str:
    """Return a report as a text table.

    :param report: report by stream
    """
    columns = list(next(iter(report.values())))
    rows = [('class', *columns)]
    rows += [
        (name, *(_format_cell(entry[column]) for column in columns))
        for name, entry in report.items()
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        '  '.join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return '\n'.join(lines)


def _report_stream(stream: Stream, observations: list[Observation]) -> StreamReport:
    outcomes = [entry.outcome for entry in observations]
    first_token_ms = HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    for entry in observations:
        if entry.first_s is not None:
            first_token_ms.record_value(max(1, int(entry.first_s * 1000)))
    in_target = sum(_meets_target(stream, entry) for entry in observations)
    return StreamReport(
        offered=len(observations),
        completed=outcomes.count(WHOLE),
        attainment=in_target / len(observations) if observations else 1.0,
        first_p50_ms=int(first_token_ms.get_value_at_percentile(50)),
        first_p95_ms=int(first_token_ms.get_value_at_percentile(95)),
        shed=outcomes.count(SHED),
        unknown=outcomes.count(UNKNOWN),
        failed=outcomes.count(FAILED),
        incomplete=outcomes.count(INCOMPLETE),
        mixed=outcomes.count(MIXED),
        retried=sum(entry.attempts > 1 for entry in observations),
        tokens=sum(entry.tokens for entry in observations if entry.outcome == WHOLE),
    )


def _meets_target(stream: Stream, entry: Observation) -> bool:
    if entry.outcome != WHOLE:
        return False
    measured = entry.end_s if stream.target_of == 'answer' else entry.first_s
    return measured is not None and measured * 1000 <= stream.target_ms


def _format_cell(value: float | int) -> str:
    return f'{value:.3f}' if isinstance(value, float) else str(value)
