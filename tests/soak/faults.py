"""Faults of a soak run: drawn from a seed, in series, and overlapping."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import gevent
from world import GRACE_S, RESTART_S, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable

    from world import RouterProcess, World

GAP_S = 0.7  # mean time between faults
SETTLE_S = 4.0  # after the last fault, before it may count against a router
DRAIN_S = 2.0
LAPSE_S = 0.8  # from an upstream's crash to the end of its entry
REUSE_S = 2.0


def terminate(world: World) -> None:
    """Stop a router gracefully and start it again, perhaps with more signals."""
    router = world.rng.choice(world.routers)
    if not router.is_running():
        return
    world.note(router.name, 'term', GRACE_S + RESTART_S + SETTLE_S)
    router.ends_expected += 1
    router.signal(signal.SIGTERM)
    for _ in range(world.rng.randint(0, 2)):
        gevent.sleep(world.rng.uniform(0.0, 0.5))
        router.signal(world.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]))
    deadline = time.monotonic() + GRACE_S
    while router.is_running() and time.monotonic() < deadline:
        gevent.sleep(0.05)
    router.signal(signal.SIGKILL)
    _restart(router)


def kill(world: World) -> None:
    """Kill a router and start it again."""
    router = world.rng.choice(world.routers)
    if router.is_running():
        world.note(router.name, 'kill', RESTART_S + SETTLE_S)
        router.ends_expected += 1
        router.signal(signal.SIGKILL)
        _restart(router)


def _restart(router: RouterProcess) -> None:
    if router.process is not None:
        while router.process.poll() is None:
            gevent.sleep(0.02)
    gevent.sleep(RESTART_S)
    if not router.is_running():
        router.start()
    router.ends_expected -= 1


def freeze(world: World) -> None:
    """Pause a router for some seconds."""
    router = world.rng.choice(world.routers)
    seconds = world.rng.uniform(0.3, 3.5)
    world.note(router.name, 'freeze', seconds + SETTLE_S)
    router.signal(signal.SIGSTOP)
    gevent.sleep(seconds)
    router.signal(signal.SIGCONT)


def poke(world: World) -> None:
    """Send signals that must change nothing."""
    for _ in range(3):
        router = world.rng.choice(world.routers)
        router.signal(world.rng.choice([signal.SIGHUP, signal.SIGUSR1]))


def cut_store(world: World, seconds: float | None = None) -> None:
    """Cut one router or all of them off from the store."""
    chosen = world.rng.sample(
        world.routers, world.rng.choice([1, 1, len(world.routers)])
    )
    mode = world.rng.choice(['refuse', 'silent', 'mute', 'deaf', 'slow'])
    seconds = seconds or world.rng.uniform(0.5, 7.0)
    for router in chosen:
        world.note(router.name, 'store', seconds + SETTLE_S)
        router.proxy.set('open' if mode == 'slow' else mode, 0.3 * (mode == 'slow'))
    gevent.sleep(seconds)
    for router in chosen:
        router.proxy.set('open')


def revoke_behind_a_cut(world: World) -> None:
    """Take a key away from routers that cannot learn of it."""
    cut = gevent.spawn(cut_store, world, 9.0)
    gevent.sleep(world.rng.uniform(0.2, 1.0))
    world.revoke()
    cut.join()


def break_store_connections(world: World) -> None:
    """Reset or silence the connections to the store that are open."""
    for router in world.routers:
        world.note(router.name, 'store', SETTLE_S)
        if world.rng.random() < 0.5:
            router.proxy.silence_open()
        else:
            router.proxy.reset_open()


def upset_store(world: World) -> None:
    """Let the store refuse, lose answers or drop its history."""
    seconds = world.rng.uniform(0.5, 3.0)
    world.note('all', 'store', seconds + SETTLE_S)
    world.server.store.compact_history()
    world.server.fault = world.rng.choice([503, 429, 'lose', 'silent', None])
    gevent.sleep(seconds)
    world.server.fault = None


def spoil_upstream(world: World) -> None:
    """Let an upstream spoil some of its answers."""
    upstream, _ = world.upstreams[world.pick_upstream()]
    upstream.spoil_share = world.rng.choice([0.05, 0.3])
    gevent.sleep(world.rng.uniform(1.0, 4.0))
    upstream.spoil_share = 0.0


def overload_upstream(world: World) -> None:
    """Let an upstream decline everything."""
    name = world.pick_upstream()
    upstream, _ = world.upstreams[name]
    world.note(name, 'overload', 3.0)
    upstream.declines = True
    gevent.sleep(world.rng.uniform(0.5, 2.0))
    upstream.declines = False


def break_upstream_connections(world: World) -> None:
    """Reset, silence, delay or cut the way to an upstream."""
    name = world.pick_upstream()
    _, proxy = world.upstreams[name]
    world.note(name, 'connections', 2 * SETTLE_S)
    action = world.rng.choice(['reset', 'silence', 'delay', 'deaf', 'mute'])
    if action == 'reset':
        proxy.reset_open()
    elif action == 'silence':
        proxy.silence_open()
    else:
        proxy.set('open' if action == 'delay' else action, 0.1 * (action == 'delay'))
        gevent.sleep(world.rng.uniform(0.5, 3.0))
        proxy.set('open')


def crash_upstream(world: World) -> None:
    """Crash an upstream; its address may be another service's afterwards."""
    name = world.pick_upstream()
    upstream, _ = world.upstreams[name]
    if _last_of_its_service(world, name):
        return
    world.note(name, 'crash', SETTLE_S)
    address = world.remove_upstream(name)
    gevent.sleep(LAPSE_S)
    world.unregister(name)
    gevent.sleep(REUSE_S)
    if world.rng.random() < 0.5:
        other = SERVICES[1 - SERVICES.index(upstream.service)]
        world.add_upstream(other, address)
    world.add_upstream(upstream.service)


def drain_upstream(world: World) -> None:
    """Take an upstream away as planned."""
    name = world.pick_upstream()
    upstream, _ = world.upstreams[name]
    if upstream.leaving or _last_of_its_service(world, name):
        return
    upstream.leaving = True
    world.register(name, 'draining')
    world.history.leaving[name] = time.monotonic()
    world.add_upstream(upstream.service)
    gevent.sleep(DRAIN_S + 2.5)
    world.unregister(name)
    gevent.sleep(0.5)
    world.note(name, 'gone', SETTLE_S)
    if name in world.upstreams:
        world.remove_upstream(name)


def _last_of_its_service(world: World, name: str) -> bool:
    service = world.upstreams[name][0].service
    left = [
        key
        for key, (entry, _) in world.upstreams.items()
        if entry.service == service and not entry.leaving and key != name
    ]
    return not left


FAULTS: tuple[Callable[[World], None], ...] = (
    terminate,
    kill,
    freeze,
    poke,
    cut_store,
    revoke_behind_a_cut,
    break_store_connections,
    upset_store,
    spoil_upstream,
    spoil_upstream,
    overload_upstream,
    break_upstream_connections,
    break_upstream_connections,
    crash_upstream,
    drain_upstream,
    lambda world: world.revoke(),
    lambda world: world.move_route(),
)


def run_faults(world: World, seconds: float) -> list[gevent.Greenlet]:
    """Start faults for a time; each goes on beside the next ones.

    :param world: of the run
    :param seconds: for which new faults begin
    :returns: the faults, which may still go on
    """
    begun = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        fault = world.rng.choice(FAULTS)
        begun.append(gevent.spawn(fault, world))
        if world.rng.random() < 0.2:  # the same again, before the first has ended
            gevent.sleep(world.rng.uniform(0.0, 0.3))
            begun.append(gevent.spawn(fault, world))
        gevent.sleep(world.rng.expovariate(1 / GAP_S))
    return begun
