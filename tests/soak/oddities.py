"""Odd values that another writer leaves in the store during a soak run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
from oddvalues import ODD_CONFIGURATIONS, ODD_ENTRIES

from rosemaryseam.platform.state import CONFIGURATION_KEY, REGISTRY_PREFIX

if TYPE_CHECKING:
    import random

    from environment import SoakEnvironment

MEAN_INTERVAL_S = 0.8
MAX_STAY_S = 6.0
MAX_CONFIGURATION_STAY_S = 0.5  # the operator writes a valid one again
ENTRY_RETURN_S = 0.5  # until an upstream writes its entry again
RECOVERY_S = 4.0
KEPT_PREFIXES = ('rosemaryseam/hosts/', 'rosemaryseam/software/')
KEYS = (
    f'{REGISTRY_PREFIX}another-writer',
    f'{REGISTRY_PREFIX}~',
    'rosemaryseam/hosts/127.9.9.9',
    'rosemaryseam/hosts/no address',
    'rosemaryseam/software/0',
    'rosemaryseam/streams/127.9.9.9/0',
    'rosemaryseam/duties/usage',
    'rosemaryseam/usage',
    'another/prefix',
)


def write_odd_values(env: SoakEnvironment, rng: random.Random, seconds: float) -> None:
    """Write odd values at random for a period, each of which stays for a while.

    :param env: environment of the run
    :param rng: source of the choices, apart from that of the faults
    :param seconds: period in which values are written
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        gevent.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
        action = rng.choice(
            [_write_key, _write_key, _overwrite, _overwrite_own, _write_configuration]
        )
        gevent.spawn(action, env, rng)


def _write_key(env: SoakEnvironment, rng: random.Random) -> None:
    store = env.store_server.store
    key = rng.choice(KEYS)
    store.put(key, rng.choice(ODD_ENTRIES).value)
    gevent.sleep(rng.uniform(0.0, MAX_STAY_S))
    store.delete(key)


def _overwrite(env: SoakEnvironment, rng: random.Random) -> None:
    """Overwrite the entry of a running upstream, which writes it again."""
    name = rng.choice(sorted(env.upstreams))
    upstream, _ = env.upstreams[name]
    if upstream.leaving:
        return
    env.record_disturbance(name, 'odd entry', ENTRY_RETURN_S + RECOVERY_S)
    odd = rng.choice(ODD_ENTRIES).value
    env.store_server.store.put(REGISTRY_PREFIX + name, odd)
    gevent.sleep(rng.uniform(0.0, ENTRY_RETURN_S))
    if name in env.upstreams and not upstream.leaving:
        env.register(name)


def _overwrite_own(env: SoakEnvironment, rng: random.Random) -> None:
    """Overwrite an entry that the hosts keep, and write again when it is odd."""
    store = env.store_server.store
    kept = [item.key for item in store.read_range('').items if _is_kept(item.key)]
    if kept:
        store.put(rng.choice(kept), rng.choice(ODD_ENTRIES).value)


def _is_kept(key: str) -> bool:
    return key.startswith(KEPT_PREFIXES) and key not in KEYS


def _write_configuration(env: SoakEnvironment, rng: random.Random) -> None:
    """Write an invalid configuration, which the operator then corrects."""
    odd = rng.choice(ODD_CONFIGURATIONS).value
    env.store_server.store.put(CONFIGURATION_KEY, odd)
    gevent.sleep(rng.uniform(0.0, MAX_CONFIGURATION_STAY_S))
    env.write_again()
