"""Starts fleets of node processes with the sample catalogue."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catalogues import sample_catalogue
from fleet import Fleet

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable


class StartedFleet(Fleet):
    """A running fleet with the addresses of its upstreams by name.

    ``key_value_direct`` is the address of the key-value service without a relay.
    """

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
    """Start a fleet with the sample catalogue and wait until it serves requests.

    :param folder: directory for settings and logs
    :param nodes: number of nodes
    :param engines: number of engine stand-ins
    :param apps: number of app runner stand-ins
    :param concurrent: limit of concurrent requests per upstream
    :param engine_flags: command line flags of each engine stand-in
    :param edit_catalogue: changes the sample catalogue before it is applied
    :param relayed: whether to put a relay before the peer port of each node
    :param relay_key_value: whether to put a relay before the key-value service
    :param settings: settings of each node that differ from the defaults
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
        fleet.configure_nodes(nodes, relayed=relayed, **settings)
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
