"""Fleets with the sample catalogue, as most tests start them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catalogues import sample_catalogue
from fleet import Fleet

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable


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
    edit_catalogue: Callable[[dict[str, Any]], None] | None = None,
    relayed: bool = False,
    relay_key_value: bool = False,
    **settings: object,
) -> StartedFleet:
    """Start a fleet with the sample catalogue and wait until it serves.

    :param folder: for settings and logs
    :param concurrent: calls that the owner of each upstream lends
    :param engine_flags: of each engine stand-in
    :param edit_catalogue: edits the sample catalogue before it is applied
    :param relayed: put a relay before each node's peer port
    :param relay_key_value: put a relay before the key-value service
    :param settings: of each node
    """
    fleet = StartedFleet(folder)
    try:
        fleet.start_platform()
        fleet.key_value_direct = fleet.key_value
        if relay_key_value:
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
        if edit_catalogue is not None:
            edit_catalogue(fleet.catalogue)
        fleet.apply_catalogue(fleet.catalogue)
        fleet.wait_ready()
        fleet.wait_serving()
    except BaseException:
        fleet.stop()
        raise
    return fleet
