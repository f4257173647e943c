"""Runs soaks: python tests/soak/run.py --first 0 --seeds 50."""

from __future__ import annotations

import argparse
import os
import pathlib
import signal
import sys
import tempfile
import time

from gevent import monkey

monkey.patch_time()

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / 'test_platform')]

import gevent  # noqa: E402
from checks import check  # noqa: E402
from environment import SoakEnvironment  # noqa: E402
from faults import run_faults  # noqa: E402
from storeserver import StoreServer  # noqa: E402

FAULTS_S = 12.0
SETTLE_S = 5.0
CALM_S = 3.0
TROUBLE_WORDS = ('Traceback', 'internal_error')


def soak(seed: int, folder: pathlib.Path, faults_s: float = FAULTS_S) -> list[str]:
    """Run once and return what was promised and not kept.

    :param seed: of the faults and of what callers do
    :param folder: for settings and logs
    :param faults_s: for how long new faults begin
    """
    network = f'127.{os.getpid() % 200 + 20}.{seed % 250}'
    store = StoreServer()
    env = SoakEnvironment(seed, folder, store, network)
    try:
        env.start()
        gevent.joinall(run_faults(env, faults_s), timeout=20.0)
        gevent.sleep(SETTLE_S)
        calm_from = time.monotonic()
        gevent.sleep(CALM_S)
        env.finish()
        found = check(env.history, calm_from)
        found += [
            f'{router.name} does not answer: {router.abort()}'
            for router in env.routers
            if any(line.startswith(f'{router.name} took no') for line in found)
        ]
        gevent.sleep(0.2)
    finally:
        env.stop()
        store.stop()
    for log in sorted(folder.glob('*.log')):
        text = log.read_text(errors='replace')
        found += [f'{log.name} has a {word}' for word in TROUBLE_WORDS if word in text]
    return found


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--faults-s', type=float, default=FAULTS_S)
    parser.add_argument(
        '--keep', type=pathlib.Path, help='folder for settings and logs'
    )
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that routers end too
    bad = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=options.keep)
        )
        found = soak(seed, folder, options.faults_s)
        bad += bool(found)
        print(
            f'seed {seed}: {"kept" if not found else "BROKEN"} ({folder})', flush=True
        )
        for line in found[:20]:
            print(f'  {line}', flush=True)
    print(f'{options.seeds} seeds, {bad} with a broken promise')
    return min(1, bad)


if __name__ == '__main__':
    sys.exit(main())
