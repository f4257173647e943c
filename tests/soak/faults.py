"""Faults of a soak run, chosen at random from a seed, which may overlap."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import gevent
from environment import GRACE_S, RESTART_S, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable

    from environment import RouterProcess, SoakEnvironment

MEAN_FAULT_INTERVAL_S = 0.7
RECOVERY_S = 4.0  # after a fault, in which its effects are not counted as violations
DRAIN_S = 2.0
REGISTRY_EXPIRY_S = 0.8  # from an upstream's crash to the removal of its registry entry
ADDRESS_REUSE_DELAY_S = 2.0
PAUSE_RANGE_S = (0.8, 1.8)
CHANGE_LEAD_S = 0.3  # longest time from a configuration change to a pause


def terminate(env: SoakEnvironment) -> None:
    """Stop a router gracefully, perhaps with further signals, and restart it."""
    router = env.rng.choice(env.routers)
    if not router.is_running():
        return
    env.record_disturbance(router.name, 'term', GRACE_S + RESTART_S + RECOVERY_S)
    router.expected_exits += 1
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
    """Kill a router and restart it."""
    router = env.rng.choice(env.routers)
    if router.is_running():
        env.record_disturbance(router.name, 'kill', RESTART_S + RECOVERY_S)
        router.expected_exits += 1
        router.signal(signal.SIGKILL)
        _restart(router)


def kill_all(env: SoakEnvironment) -> None:
    """Kill all routers at once and restart them."""
    running = [router for router in env.routers if router.is_running()]
    for router in running:
        env.record_disturbance(router.name, 'kill', RESTART_S + RECOVERY_S)
        router.expected_exits += 1
        router.signal(signal.SIGKILL)
    gevent.joinall([gevent.spawn(_restart, router) for router in running])


def _restart(router: RouterProcess) -> None:
    if router.process is not None:
        while router.process.poll() is None:
            gevent.sleep(0.02)
    gevent.sleep(RESTART_S)
    if not router.is_running():
        router.start()
    router.expected_exits -= 1


def freeze(env: SoakEnvironment) -> None:
    """Suspend a router for some seconds."""
    router = env.rng.choice(env.routers)
    seconds = env.rng.uniform(0.3, 3.5)
    env.record_disturbance(router.name, 'freeze', seconds + RECOVERY_S)
    router.signal(signal.SIGSTOP)
    gevent.sleep(seconds)
    router.signal(signal.SIGCONT)


def send_harmless_signals(env: SoakEnvironment) -> None:
    """Send routers signals that must not disturb them."""
    for _ in range(3):
        router = env.rng.choice(env.routers)
        router.signal(env.rng.choice([signal.SIGHUP, signal.SIGUSR1]))


def disconnect_store(env: SoakEnvironment, seconds: float | None = None) -> None:
    """Disturb or delay the connection of one or all routers to the store."""
    chosen = env.rng.sample(env.routers, env.rng.choice([1, 1, len(env.routers)]))
    mode = env.rng.choice(['refuse', 'silent', 'mute', 'deaf', 'slow'])
    seconds = seconds or env.rng.uniform(0.5, 7.0)
    for router in chosen:
        env.record_disturbance(router.name, 'store', seconds + RECOVERY_S)
        router.proxy.set_mode(
            'open' if mode == 'slow' else mode, 0.3 * (mode == 'slow')
        )
    gevent.sleep(seconds)
    for router in chosen:
        router.proxy.set_mode('open')


def revoke_key_while_disconnected(env: SoakEnvironment) -> None:
    """Revoke a key while routers cannot read the store."""
    outage = gevent.spawn(disconnect_store, env, 9.0)
    gevent.sleep(env.rng.uniform(0.2, 1.0))
    env.revoke_key()
    outage.join()


def disturb_store_connections(env: SoakEnvironment) -> None:
    """Reset or silence the open connections to the store."""
    for router in env.routers:
        env.record_disturbance(router.name, 'store', RECOVERY_S)
        if env.rng.random() < 0.5:
            router.proxy.silence_open()
        else:
            router.proxy.reset_open()


def inject_store_fault(env: SoakEnvironment) -> None:
    """Make the store drop its history and refuse calls or lose answers."""
    seconds = env.rng.uniform(0.5, 3.0)
    env.record_disturbance('all', 'store', seconds + RECOVERY_S)
    env.store_server.store.compact_history()
    env.store_server.fault = env.rng.choice([503, 429, 'lose', 'silent', None])
    gevent.sleep(seconds)
    env.store_server.fault = None


def restore_store(env: SoakEnvironment) -> None:
    """Restore the store from a copy; owners write again what was lost."""
    store = env.store_server
    copy = store.store.copy()
    gevent.sleep(env.rng.uniform(0.2, 4.0))
    away_s = env.rng.uniform(0.1, 0.8)
    env.record_disturbance('all', 'store', away_s + 1.0 + RECOVERY_S)
    store.fault = env.rng.choice([503, 'silent'])
    gevent.sleep(away_s)
    store.store.restore(copy)
    store.fault = None
    gevent.sleep(env.rng.uniform(0.0, 1.0))
    env.write_again()


def inject_answer_faults(env: SoakEnvironment) -> None:
    """Make an upstream send some faulty answers."""
    upstream, _ = env.upstreams[env.pick_upstream()]
    upstream.fault_share = env.rng.choice([0.05, 0.3])
    gevent.sleep(env.rng.uniform(1.0, 4.0))
    upstream.fault_share = 0.0


def overload_upstream(env: SoakEnvironment) -> None:
    """Make an upstream decline all requests."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    env.record_disturbance(name, 'overload', 3.0)
    upstream.quiet_s = env.rng.choice([0.0, 0.7, 2.5])
    upstream.declining = True
    gevent.sleep(env.rng.uniform(0.5, 2.0))
    upstream.declining = False


def limit_upstream(env: SoakEnvironment) -> None:
    """Make an upstream state a limit of requests per second."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    if upstream.limit is not None:
        return
    begin = time.monotonic()
    upstream.limit = env.rng.choice([0.5, 1.0, 4.0])
    gevent.sleep(env.rng.uniform(5.0, 9.0))
    env.history.limits.append((name, begin, time.monotonic(), upstream.limit))
    upstream.limit = None


def disturb_upstream_connections(env: SoakEnvironment) -> None:
    """Reset, silence, delay or cut the connections to an upstream."""
    name = env.pick_upstream()
    _, proxy = env.upstreams[name]
    env.record_disturbance(name, 'connections', 2 * RECOVERY_S)
    action = env.rng.choice(['reset', 'silence', 'delay', 'deaf', 'mute'])
    if action == 'reset':
        proxy.reset_open()
    elif action == 'silence':
        proxy.silence_open()
    else:
        proxy.set_mode(
            'open' if action == 'delay' else action, 0.1 * (action == 'delay')
        )
        gevent.sleep(env.rng.uniform(0.5, 3.0))
        proxy.set_mode('open')


def pause_upstreams(env: SoakEnvironment) -> None:
    """Pause upstreams that routes lead to, perhaps beside a configuration change.

    They lose nothing and go on, so this is no disturbance.
    """
    service = env.rng.choice(list(env.route_services.values()))
    own = [one for one, _ in env.upstreams.values() if one.service == service]
    count = env.rng.choice([1, env.rng.randint(1, len(own)), len(own)])
    seconds = env.rng.uniform(*PAUSE_RANGE_S)
    if env.rng.random() < 0.5:
        lead_s = env.rng.uniform(-seconds, CHANGE_LEAD_S)
        change = env.rng.choice([env.revoke_key, env.move_route])
        gevent.spawn_later(max(0.0, -lead_s), change)
        gevent.sleep(max(0.0, lead_s))
    for upstream in env.rng.sample(own, count):
        upstream.pause(seconds)
    gevent.sleep(seconds)


def crash_upstream(env: SoakEnvironment) -> None:
    """Crash an upstream; its address may then be reused by another service."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    if _is_last_of_its_service(env, name):
        return
    env.record_disturbance(name, 'crash', RECOVERY_S)
    # The kernel ends connections without unread bytes in order, and resets others.
    address = env.remove_upstream(name, in_order=int(name[1:]) % 2 == 0)
    gevent.sleep(REGISTRY_EXPIRY_S)
    env.unregister(name)
    gevent.sleep(ADDRESS_REUSE_DELAY_S)
    if env.rng.random() < 0.5:
        other = SERVICES[1 - SERVICES.index(upstream.service)]
        env.add_upstream(other, address)
    env.add_upstream(upstream.service)


def drain_upstream(env: SoakEnvironment) -> None:
    """Drain an upstream and remove it."""
    name = env.pick_upstream()
    upstream, _ = env.upstreams[name]
    if upstream.leaving or _is_last_of_its_service(env, name):
        return
    upstream.leaving = True
    if env.rng.random() < 0.5:  # at first only its answers say so
        gevent.sleep(DRAIN_S)
    env.register(name, 'draining')
    env.history.leaving_since[name] = time.monotonic()
    env.add_upstream(upstream.service)
    gevent.sleep(DRAIN_S + 2.5)
    env.unregister(name)
    gevent.sleep(0.5)
    env.record_disturbance(name, 'gone', RECOVERY_S)
    if name in env.upstreams:
        env.remove_upstream(name)


def _is_last_of_its_service(env: SoakEnvironment, name: str) -> bool:
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
    kill_all,
    freeze,
    send_harmless_signals,
    disconnect_store,
    revoke_key_while_disconnected,
    disturb_store_connections,
    inject_store_fault,
    restore_store,
    inject_answer_faults,
    inject_answer_faults,
    overload_upstream,
    limit_upstream,
    disturb_upstream_connections,
    disturb_upstream_connections,
    pause_upstreams,
    pause_upstreams,
    crash_upstream,
    drain_upstream,
    lambda env: env.revoke_key(),
    lambda env: env.move_route(),
)


def run_faults(
    env: SoakEnvironment, seconds: float, only: str = ''
) -> list[gevent.Greenlet]:
    """Start faults for a period without waiting for earlier ones to end.

    :param env: environment of the run
    :param seconds: period in which new faults start
    :param only: name of the only fault that starts; empty for all
    :returns: greenlets of the faults, some of which may still run
    """
    started = []
    chosen = [fault for fault in FAULTS if only in ('', fault.__name__)]
    deadline = time.monotonic() + seconds
    if not chosen:
        gevent.sleep(seconds)  # the only fault is not one of these
    while time.monotonic() < deadline:
        fault = env.rng.choice(chosen)
        started.append(gevent.spawn(fault, env))
        if env.rng.random() < 0.2:  # the same fault again before the first has ended
            gevent.sleep(env.rng.uniform(0.0, 0.3))
            started.append(gevent.spawn(fault, env))
        gevent.sleep(env.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
    return started
