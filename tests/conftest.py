"""Fixtures of all tests, and the handling of tests that are known to fail."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import pytest
from fleets import StartedFleet, start_fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

KNOWN_FAILURES = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def _known_failures() -> list[str]:
    """Return the entries of ``KNOWN-RED.txt``, which begin with the test they name."""
    if not KNOWN_FAILURES.exists():
        return []
    lines = KNOWN_FAILURES.read_text().splitlines()
    return [line for line in lines if line.strip() and not line.startswith('#')]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests that are known to fail."""
    known = _known_failures()
    # The name of a case may contain spaces.
    deselected = [
        item
        for item in items
        if any(line.startswith(f'{item.nodeid} ') for line in known)
    ]
    if deselected:
        items[:] = [item for item in items if item not in deselected]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for line in _known_failures():
        terminalreporter.write_line(f'known red: {line}')


@pytest.fixture(scope='session')
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[StartedFleet]:
    """A fleet shared by tests that restore its state."""
    fleet = start_fleet(tmp_path_factory.mktemp('shared'))
    yield fleet
    fleet.stop()


@pytest.fixture
def own_fleet(tmp_path: pathlib.Path) -> Iterator[Callable[..., StartedFleet]]:
    """Returns a function that starts fleets for one test."""
    fleets = []

    def start(**options: object) -> StartedFleet:
        fleet = start_fleet(tmp_path / f'fleet-{len(fleets)}', **options)
        fleets.append(fleet)
        return fleet

    yield start
    for fleet in fleets:
        fleet.stop()
