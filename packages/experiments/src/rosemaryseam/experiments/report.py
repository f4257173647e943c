"""What a day earned, by kind of request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rosemaryseam.experiments.fleet import Fleet, Outcome

READ_AGAIN_PRICE = 0.00024  # a token of a shared part that some engine had read
FETCH_PRICE = 0.0000277  # a token copied between engines
REFUSED_AGAIN_PRICE = 0.3  # of the worth of a request that came back in vain
SIZE_FLOOR = 0.3
OUTPUT_WORK = 10
SIZE_MOST = 4.0
LARGEST = 0.1  # of a kind's requests
LARGE = 0.2  # of a kind's requests, those below the largest


class KindRow(NamedTuple):
    """One kind's requests, or those of one size among them."""

    name: str
    asked: int
    in_target: int
    late: int
    refused: int
    failed: int
    worth: float


class DayResult(NamedTuple):
    """A day's rows and its worth, less prices, as a share of what was asked.

    ``rows`` are the kinds, ``sizes`` the largest and the large requests of each.
    """

    rows: tuple[KindRow, ...]
    sizes: tuple[KindRow, ...]
    worth: float
    served: float
    read_again: float
    fetched: float
    refused_again: float


def summarise(fleet: Fleet) -> DayResult:
    """Return the result of a fleet's day.

    :param fleet: after its day
    """
    means = _mean_work(fleet.outcomes)
    owed = earned = refused_again = 0.0
    rows: dict[str, list[Outcome]] = {}
    for outcome in fleet.outcomes:
        rows.setdefault(outcome.arrival.kind.name, []).append(outcome)
        worth = _worth(outcome, means)
        owed += worth
        earned += worth * _share(outcome)
        if outcome.result in ('refused', 'failed') and outcome.refusals:
            refused_again += worth * REFUSED_AGAIN_PRICE
    engines = fleet.engines.values()
    again = sum(engine.counts.again for engine in engines) * READ_AGAIN_PRICE / owed
    fetched = sum(engine.counts.fetched for engine in engines)
    fetch_cost = fetched * FETCH_PRICE / owed
    served = earned / owed
    refused_cost = refused_again / owed
    worth = served - again - fetch_cost - refused_cost
    return DayResult(
        tuple(_row(name, group, means) for name, group in sorted(rows.items())),
        tuple(
            _row(f'{name}, {size}', part, means)
            for name, group in sorted(rows.items())
            for size, part in _sizes(group)
        ),
        worth,
        served,
        again,
        fetch_cost,
        refused_cost,
    )


def format_result(result: DayResult) -> str:
    """Return a result as a table.

    :param result: of a day
    """
    lines = ['kind                    asked in target  late refused failed  worth']
    lines += [
        f'{row.name:22s} {row.asked:5d} {row.in_target:9d} {row.late:5d} '
        f'{row.refused:7d} {row.failed:6d}  {row.worth:.3f}'
        for row in sorted(result.rows + result.sizes)
    ]
    lines.append(
        f'worth {result.worth:.3f} = served {result.served:.3f} - read again '
        f'{result.read_again:.3f} - fetched {result.fetched:.3f} - refused again '
        f'{result.refused_again:.3f}'
    )
    return '\n'.join(lines)


def _sizes(group: list[Outcome]) -> Iterator[tuple[str, list[Outcome]]]:
    """Yield the largest and the large ones of a kind's requests."""
    ordered = sorted(group, key=_work, reverse=True)
    largest = round(len(group) * LARGEST)
    large = largest + round(len(group) * LARGE)
    if largest:
        yield 'largest', ordered[:largest]
        yield 'large', ordered[largest:large]


def _row(name: str, group: list[Outcome], means: dict[str, float]) -> KindRow:
    counts = {
        result: sum(1 for outcome in group if outcome.result == result)
        for result in ('in target', 'late', 'refused', 'failed')
    }
    owed = sum(_worth(outcome, means) for outcome in group)
    earned = sum(_worth(outcome, means) * _share(outcome) for outcome in group)
    return KindRow(
        name,
        len(group),
        counts['in target'],
        counts['late'],
        counts['refused'],
        counts['failed'],
        earned / owed,
    )


def _share(outcome: Outcome) -> float:
    if outcome.result == 'in target':
        return 1.0
    if outcome.result == 'late':
        return outcome.arrival.kind.late_worth / outcome.arrival.kind.worth
    return 0.0


def _worth(outcome: Outcome, means: dict[str, float]) -> float:
    kind = outcome.arrival.kind
    size = min(SIZE_MOST, _work(outcome) / means[kind.name])
    return kind.worth * (SIZE_FLOOR + (1.0 - SIZE_FLOOR) * size)


def _work(outcome: Outcome) -> float:
    arrival = outcome.arrival
    return sum(size for _, size in arrival.parts) + OUTPUT_WORK * arrival.output_tokens


def _mean_work(outcomes: Iterable[Outcome]) -> dict[str, float]:
    totals: dict[str, list[float]] = {}
    for outcome in outcomes:
        totals.setdefault(outcome.arrival.kind.name, []).append(_work(outcome))
    return {name: sum(works) / len(works) for name, works in totals.items()}
