"""Scores a simulation, in total and by kind of request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rosemaryseam.experiments.fleet import Fleet, Outcome

RECOMPUTE_COST_PER_TOKEN = 0.00024  # for shared parts that an engine had prefilled
FETCH_COST_PER_TOKEN = 0.0000277  # for parts copied between engines
REPEATED_REFUSAL_COST = 0.3  # of the worth of a request whose retry failed too
MIN_SIZE_WEIGHT = 0.3
WORK_PER_OUTPUT_TOKEN = 10
MAX_RELATIVE_WORK = 4.0
LARGEST_SHARE = 0.1  # of a kind's requests
LARGE_SHARE = 0.2  # of a kind's requests, those below the largest


class GroupResult(NamedTuple):
    """Counts and worth of the requests of one kind, or of one size of a kind."""

    name: str
    offered: int
    in_target: int
    late: int
    refused: int
    failed: int
    worth: float


class SimulationResult(NamedTuple):
    """The score of a simulation.

    ``rows`` holds the results by kind, ``sizes`` those of the largest and the large
    requests of each kind. ``worth`` is ``served`` minus the costs; all are shares of
    the worth of answering every request in target.
    """

    rows: tuple[GroupResult, ...]
    sizes: tuple[GroupResult, ...]
    worth: float
    served: float
    recompute_cost: float
    fetch_cost: float
    repeated_refusal_cost: float


def summarise(fleet: Fleet) -> SimulationResult:
    """Return the score of a simulation.

    :param fleet: fleet that has run a scenario
    """
    mean_work = _mean_work_by_kind(fleet.outcomes)
    full_worth = earned = repeated_refusal_cost = 0.0
    rows: dict[str, list[Outcome]] = {}
    for outcome in fleet.outcomes:
        rows.setdefault(outcome.arrival.kind.name, []).append(outcome)
        worth = _full_worth(outcome, mean_work)
        full_worth += worth
        earned += worth * _earned_share(outcome)
        if outcome.result in ('refused', 'failed') and outcome.refusals:
            repeated_refusal_cost += worth * REPEATED_REFUSAL_COST
    engines = fleet.engines.values()
    recompute_cost = (
        sum(engine.counts.recomputed for engine in engines)
        * RECOMPUTE_COST_PER_TOKEN
        / full_worth
    )
    fetched = sum(engine.counts.fetched for engine in engines)
    fetch_cost = fetched * FETCH_COST_PER_TOKEN / full_worth
    served = earned / full_worth
    refused_cost = repeated_refusal_cost / full_worth
    worth = served - recompute_cost - fetch_cost - refused_cost
    return SimulationResult(
        tuple(
            _summarise_group(name, group, mean_work)
            for name, group in sorted(rows.items())
        ),
        tuple(
            _summarise_group(f'{name}, {size}', part, mean_work)
            for name, group in sorted(rows.items())
            for size, part in _split_by_size(group)
        ),
        worth,
        served,
        recompute_cost,
        fetch_cost,
        refused_cost,
    )


def format_result(result: SimulationResult) -> str:
    """Return a score as a table.

    :param result: score of a simulation
    """
    lines = ['kind                    asked in target  late refused failed  worth']
    lines += [
        f'{row.name:22s} {row.offered:5d} {row.in_target:9d} {row.late:5d} '
        f'{row.refused:7d} {row.failed:6d}  {row.worth:.3f}'
        for row in sorted(result.rows + result.sizes)
    ]
    lines.append(
        f'worth {result.worth:.3f} = served {result.served:.3f} - read again '
        f'{result.recompute_cost:.3f} - fetched {result.fetch_cost:.3f} - refused '
        f'again {result.repeated_refusal_cost:.3f}'
    )
    return '\n'.join(lines)


def _split_by_size(group: list[Outcome]) -> Iterator[tuple[str, list[Outcome]]]:
    """Yield the largest and the large requests of a kind."""
    ordered = sorted(group, key=_work, reverse=True)
    largest = round(len(group) * LARGEST_SHARE)
    large = largest + round(len(group) * LARGE_SHARE)
    if largest:
        yield 'largest', ordered[:largest]
        yield 'large', ordered[largest:large]


def _summarise_group(
    name: str, group: list[Outcome], mean_work: dict[str, float]
) -> GroupResult:
    counts = {
        result: sum(1 for outcome in group if outcome.result == result)
        for result in ('in target', 'late', 'refused', 'failed')
    }
    full_worth = sum(_full_worth(outcome, mean_work) for outcome in group)
    earned = sum(
        _full_worth(outcome, mean_work) * _earned_share(outcome) for outcome in group
    )
    return GroupResult(
        name,
        len(group),
        counts['in target'],
        counts['late'],
        counts['refused'],
        counts['failed'],
        earned / full_worth,
    )


def _earned_share(outcome: Outcome) -> float:
    if outcome.result == 'in target':
        return 1.0
    if outcome.result == 'late':
        return outcome.arrival.kind.late_worth / outcome.arrival.kind.worth
    return 0.0


def _full_worth(outcome: Outcome, mean_work: dict[str, float]) -> float:
    kind = outcome.arrival.kind
    size = min(MAX_RELATIVE_WORK, _work(outcome) / mean_work[kind.name])
    return kind.worth * (MIN_SIZE_WEIGHT + (1.0 - MIN_SIZE_WEIGHT) * size)


def _work(outcome: Outcome) -> float:
    arrival = outcome.arrival
    return (
        sum(size for _, size in arrival.parts)
        + WORK_PER_OUTPUT_TOKEN * arrival.output_tokens
    )


def _mean_work_by_kind(outcomes: Iterable[Outcome]) -> dict[str, float]:
    totals: dict[str, list[float]] = {}
    for outcome in outcomes:
        totals.setdefault(outcome.arrival.kind.name, []).append(_work(outcome))
    return {name: sum(works) / len(works) for name, works in totals.items()}
