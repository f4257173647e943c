"""Runs the soak with given seeds: python tests/soak/run.py --first 0 --seeds 50."""

from __future__ import annotations

import argparse
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from gevent import monkey

monkey.patch_time()

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / 'test_platform')]

import gevent  # noqa: E402
from checks import find_violations  # noqa: E402
from crowding import find_overuse, send_crowds  # noqa: E402
from environment import SoakEnvironment  # noqa: E402
from faults import run_faults  # noqa: E402
from oddities import write_odd_values  # noqa: E402
from storeserver import StoreServer  # noqa: E402

FAULTS_S = 12.0
RECOVERY_S = 5.0
RECOVERY_CHECK_S = 3.0
ERROR_MARKERS = ('Traceback', 'internal_error')


def run_soak(
    seed: int, folder: pathlib.Path, faults_s: float = FAULTS_S, only: str = ''
) -> list[str]:
    """Run the soak once and return the violations of the guarantees.

    :param seed: seed of the faults and of the callers
    :param folder: folder for settings and logs
    :param faults_s: period in which new faults start, in seconds
    :param only: name of the only fault; empty for all
    """
    network = f'127.{os.getpid() % 200 + 20}.{seed % 250}'
    store = StoreServer()
    env = SoakEnvironment(seed, folder, store, network)
    try:
        env.start()
        if not only or only == write_odd_values.__name__:
            odd_rng = random.Random(f'odd values {seed}')
            gevent.spawn(write_odd_values, env, odd_rng, faults_s)
        if not only or only == send_crowds.__name__:
            crowd_rng = random.Random(f'crowds {seed}')
            gevent.spawn(send_crowds, env, crowd_rng, faults_s)
        gevent.joinall(run_faults(env, faults_s, only), timeout=20.0)
        gevent.sleep(RECOVERY_S)
        recovered_at = time.monotonic()
        gevent.sleep(RECOVERY_CHECK_S)
        env.finish()
        violations = find_violations(env.history, recovered_at)
        violations += [
            f'{router.name} does not answer: {router.abort()}'
            for router in env.routers
            if any(line.startswith(f'{router.name} took no') for line in violations)
        ]
        for router in env.routers:
            if router.is_running():
                violations += find_overuse(
                    router, pathlib.Path(f'/proc/{router.process.pid}')
                )
        gevent.sleep(0.2)
    finally:
        env.stop()
        store.stop()
    for log in sorted(folder.glob('*.log')):
        text = log.read_text(errors='replace')
        violations += [
            f'{log.name} has a {marker}' for marker in ERROR_MARKERS if marker in text
        ]
    return violations


def main() -> int:
    """Run the soak with the seeds that the command line gives."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--faults-s', type=float, default=FAULTS_S)
    parser.add_argument('--only', default='', help='name of the only fault')
    parser.add_argument(
        '--keep', type=pathlib.Path, help='folder for settings and logs'
    )
    options = parser.parse_args()
    # Exits by an exception, so that the cleanup ends the routers too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    broken_runs = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=options.keep)
        )
        violations = run_soak(seed, folder, options.faults_s, options.only)
        broken_runs += bool(violations)
        print(
            f'seed {seed}: {"kept" if not violations else "BROKEN"} ({folder})',
            flush=True,
        )
        for line in violations[:20]:
            print(f'  {line}', flush=True)
    print(f'{options.seeds} seeds, {broken_runs} with a broken promise')
    return min(1, broken_runs)


if __name__ == '__main__':
    sys.exit(main())
