"""Fixtures of all tests, and the list of tests that are known to fail."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING, Any

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'tools'))

from catalogues import sample_catalogue  # noqa: E402
from fleet import Fleet  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def _known_red() -> dict[str, str]:
    """Return the lines of ``KNOWN-RED.txt`` by the test they name."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith('#')]
    return {line.split()[0]: line for line in entries}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over the tests that are known to fail."""
    red = _known_red()
    passed_over = [item for item in items if item.nodeid in red]
    if passed_over:
        items[:] = [item for item in items if item.nodeid not in red]
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for line in _known_red().values():
        terminalreporter.write_line(f'known red: {line}')


class StartedFleet(Fleet):
    """A fleet with its upstreams by name."""

    engines: dict[str, str]
    apps: dict[str, str]
    catalogue: dict[str, Any]
    key_value_direct: str


def start_fleet(
    folder: pathlib.Path,
    nodes: int = 3,
    engines: int = 2,
    apps: int = 2,
    concurrent: int = 8,
    engine_flags: tuple[str, ...] = (),
    change: Callable[[dict[str, Any]], None] | None = None,
    relayed: bool = False,
    via_relay: bool = False,
    **settings: object,
) -> StartedFleet:
    """Start a fleet with the sample catalogue and wait until it serves.

    :param folder: for settings and logs
    :param concurrent: calls that the owner of each upstream lends
    :param engine_flags: of each engine stand-in
    :param change: edits the sample catalogue before it is applied
    :param relayed: put a relay before each node's peer port
    :param via_relay: put a relay before the key-value service
    :param settings: of each node
    """
    fleet = StartedFleet(folder)
    try:
        fleet.start_platform()
        fleet.key_value_direct = fleet.key_value
        if via_relay:
            fleet.key_value = fleet.start_relay('relay-keyvalue', fleet.key_value)
        fleet.engines = {
            name: fleet.start_standin(name, 'engine', *engine_flags)
            for name in (f'engine-{n + 1}' for n in range(engines))
        }
        fleet.apps = {
            name: fleet.start_standin(name, 'apprunner')
            for name in (f'app-{n + 1}' for n in range(apps))
        }
        fleet.plan_nodes(nodes, relayed=relayed, **settings)
        fleet.start_nodes()
        fleet.catalogue = sample_catalogue(fleet.engines, fleet.apps, concurrent)
        if change is not None:
            change(fleet.catalogue)
        fleet.apply_catalogue(fleet.catalogue)
        fleet.wait_ready()
        fleet.wait_serving()
    except BaseException:
        fleet.stop()
        raise
    return fleet


@pytest.fixture(scope='session')
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[StartedFleet]:
    """A fleet for tests that leave it as they found it."""
    fleet = start_fleet(tmp_path_factory.mktemp('shared'))
    yield fleet
    fleet.stop()


@pytest.fixture
def own_fleet(tmp_path: pathlib.Path) -> Iterator[Callable[..., StartedFleet]]:
    """Starts fleets that belong to one test."""
    fleets = []

    def start(**options: object) -> StartedFleet:
        fleet = start_fleet(tmp_path / f'fleet-{len(fleets)}', **options)
        fleets.append(fleet)
        return fleet

    yield start
    for fleet in fleets:
        fleet.stop()
