"""Builds what a host needs to reach upstreams through others and to relay for them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from rosemaryseam.common.addresses import Address
from rosemaryseam.router.paths import UpstreamPaths
from rosemaryseam.router.tunnelclient import TunnelClient
from rosemaryseam.router.tunnels import TunnelServer, tunnel_limit

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.settings import RouterSettings
    from rosemaryseam.router.upstreams import Registry


def open_paths(
    cfg: RouterSettings,
    registry: Registry,
    known_hosts: Callable[[], Mapping[str, float]],
    is_host: Callable[[str], bool],
    clock: Clock,
    metrics: Metrics,
) -> tuple[UpstreamPaths, TunnelServer]:
    """Return the paths of a host and its tunnel server.

    :param cfg: settings of the process
    :param registry: registered upstreams
    :param known_hosts: returns the capacities of the other hosts by address
    :param is_host: returns whether an address is that of another host, also of a
        stopping one
    :param clock: clock of the process
    :param metrics: counters of the process
    """
    rng = random.Random()
    client = address = None
    if cfg.relay_port is not None:
        address = Address(cfg.ip, cfg.relay_port)
        client = TunnelClient(address, cfg.zone, known_hosts, clock, metrics, rng)
    paths = UpstreamPaths(registry, client, clock, metrics, rng)
    server = TunnelServer(
        address,
        cfg.zone,
        tunnel_limit(cfg.capacity, cfg.descriptors),
        registry,
        is_host,
        paths.connect_directly,
        paths.is_isolated,
        paths.is_cut_off,
        clock,
        metrics,
    )
    return paths, server
