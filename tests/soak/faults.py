"""Faults of a soak run: drawn from a seed, in series, and overlapping."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import gevent
from environment import GRACE_S, RESTART_S, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable

    from environment import RouterProcess, SoakEnvironment

GAP_S = 0.7  # mean time between faults
SETTLE_S = 4.0  # after the last fault, before it may count against a router
DRAIN_S = 2.0
LAPSE_S = 0.8  # from an upstream's crash to the end of its entry
REUSE_S = 2.0


def terminate(env: SoakEnvironment) -> None:
    """Stop a router gracefully and start it again, perhaps with more signals."""
    router = env.rng.choice(env.routers)
    if not router.is_running():
        return
    env.note(router.name, 'term', GRACE_S + RESTART_S + SETTLE_S)
    router.ends_expected += 1
    router.signal(signal.SIGTERM)
    for _ in range(env.rng.randint(0, 2)):
        gevent.sleep(env.rng.uniform(0.0, 0.5))
        router.signal(env.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1]))
    deadline = time.monotonic() + GRACE_S
    while router.is_running() and time.monotonic() < deadline:
        gevent.sleep(0.05)
    router.signal(signal.SIGKILL)
    _restart(router)


def kill(env: SoakEnvironment) -> None:
    """Kill a router and start it again."""
    router = env.rng.choice(env.routers)
    if router.is_running():
        env.note(router.name, 'kill', RESTART_S + SETTLE_S)
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


def freeze(env: SoakEnvironment) -> None:
    """Pause a router for some seconds."""
    router = env.rng.choice(env.routers)
    seconds = env.rng.uniform(0.3, 3.5)
    env.note(router.name, 'freeze', seconds + SETTLE_S)
    router.signal(signal.SIGSTOP)
    gevent.sleep(seconds)
    router.signal(signal.SIGCONT)


def poke(env: SoakEnvironment) -> None:
    """Send signals that must change nothing."""
    for _ in range(3):
        router = env.rng.choice(env.routers)
        router.signal(env.rng.choice([signal.SIGHUP, signal.SIGUSR1]))


def cut_store(env: SoakEnvironment, seconds: float | None = None) -> None:
    """Cut one router or all of them off from the store."""
    chosen = env.rng.sample(env.routers, env.rng.choice([1, 1, len(env.routers)]))
    mode = env.rng.choice(['refuse', 'silent', 'mute', 'deaf', 'slow'])
    seconds = seconds or env.rng.uniform(0.5, 7.0)
    for router in chosen:
        env.note(router.name, 'store', seconds + SETTLE_S)
        router.proxy.set('open' if mode == 'slow' else mode, 0.3 * (mode == 'slow'))
    gevent.sleep(seconds)
    for router in chosen:
        router.proxy.set('open')


def revoke_behind_a_cut(env: SoakEnvironment) -> None:
    """Take a key away from routers that cannot learn of it."""
    cut = gevent.spawn(cut_store, env, 9.0)
    gevent.sleep(env.rng.uniform(0.2, 1.0))
    env.revoke()
    cut.join()


def break_store_connections(env: SoakEnvironment) -> None:
    """Reset or silence the connections to the store that are open."""
    for router in env.routers:
        env.note(router.name, 'store', SETTLE_S)
        if env.rng.random() < 0.5:
            router.proxy.silence_open()
        else:
            router.proxy.reset_open()


def upset_store(env: SoakEnvironment) -> None:
    """Let the store refuse, lose answers or drop its history."""
    seconds = env.rng.uniform(0.5, 3.0)
    env.note('all', 'store', seconds + SETTLE_S)
    env.server.store.compact_history()
    env.server.fault = env.rng.choice([503, 429, 'lose', 'silent', None])
    gevent.sleep(seconds)
    env.server.fault = None


def spoil_upstream(env: SoakEnvironment) -> None:
    """Let an upstream spoil some of its answers."""
    upstream, _ = env.upstreams[env.pick_upstream()]
    upstream.spoil_share = env.rng.choice([0.05, 0.3])
    gevent.sleep(env.rng.uniform(1.0, 4.0))
    upstream.spoil_share = 0.0


def overload_upstream(env: SoakEnvironment) -> None:
    """Let an upstream decline everything."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    env.note(name, 'overload', 3.0)
    upstream.declines = True
    gevent.sleep(env.rng.uniform(0.5, 2.0))
    upstream.declines = False


def break_upstream_connections(env: SoakEnvironment) -> None:
    """Reset, silence, delay or cut the way to an upstream."""
    name = env.pick_upstream()
    _, proxy = env.upstreams[name]
    env.note(name, 'connections', 2 * SETTLE_S)
    action = env.rng.choice(['reset', 'silence', 'delay', 'deaf', 'mute'])
    if action == 'reset':
        proxy.reset_open()
    elif action == 'silence':
        proxy.silence_open()
    else:
        proxy.set('open' if action == 'delay' else action, 0.1 * (action == 'delay'))
        gevent.sleep(env.rng.uniform(0.5, 3.0))
        proxy.set('open')


def crash_upstream(env: SoakEnvironment) -> None:
    """Crash an upstream; its address may be another service's afterwards."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    if _last_of_its_service(env, name):
        return
    env.note(name, 'crash', SETTLE_S)
    address = env.remove_upstream(name)
    gevent.sleep(LAPSE_S)
    env.unregister(name)
    gevent.sleep(REUSE_S)
    if env.rng.random() < 0.5:
        other = SERVICES[1 - SERVICES.index(upstream.service)]
        env.add_upstream(other, address)
    env.add_upstream(upstream.service)


def drain_upstream(env: SoakEnvironment) -> None:
    """Take an upstream away as planned."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    if upstream.leaving or _last_of_its_service(env, name):
        return
    upstream.leaving = True
    env.register(name, 'draining')
    env.history.leaving[name] = time.monotonic()
    env.add_upstream(upstream.service)
    gevent.sleep(DRAIN_S + 2.5)
    env.unregister(name)
    gevent.sleep(0.5)
    env.note(name, 'gone', SETTLE_S)
    if name in env.upstreams:
        env.remove_upstream(name)


def _last_of_its_service(env: SoakEnvironment, name: str) -> bool:
    service = env.upstreams[name][0].service
    left = [
        key
        for key, (entry, _) in env.upstreams.items()
        if entry.service == service and not entry.leaving and key != name
    ]
    return not left


FAULTS: tuple[Callable[[SoakEnvironment], None], ...] = (
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
    lambda env: env.revoke(),
    lambda env: env.move_route(),
)


def run_faults(env: SoakEnvironment, seconds: float) -> list[gevent.Greenlet]:
    """Start faults for a time; each goes on beside the next ones.

    :param env: of the run
    :param seconds: for which new faults begin
    :returns: the faults, which may still go on
    """
    begun = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        fault = env.rng.choice(FAULTS)
        begun.append(gevent.spawn(fault, env))
        if env.rng.random() < 0.2:  # the same again, before the first has ended
            gevent.sleep(env.rng.uniform(0.0, 0.3))
            begun.append(gevent.spawn(fault, env))
        gevent.sleep(env.rng.expovariate(1 / GAP_S))
    return begun
