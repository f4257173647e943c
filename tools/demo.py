"""Runs a small fleet under load, drains an upstream and kills a host."""

from __future__ import annotations

import json
import pathlib
import shutil
import sys
import time
from collections import Counter
from typing import Any

from catalogues import KEYS, sample_catalogue
from fleet import Fleet, call
from rosemaryseam.standins.report import format_table

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / 'build' / 'demo'
DURATION_S = 24
DRAIN_AT_S = 6
KILL_AT_S = 12
LOAD_TIMEOUT_S = 90


def main() -> int:
    """Run the demo and return 0 when every answer was complete and executed once."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    fleet = Fleet(FOLDER)
    try:
        return _run(fleet)
    finally:
        fleet.stop()


def _run(fleet: Fleet) -> int:
    print('starting the platform stand-ins, 3 engines, 2 app runners and 3 nodes')
    fleet.start_platform()
    engines = {
        name: fleet.start_standin(name, 'engine') for name in _names('engine', 3)
    }
    apps = {name: fleet.start_standin(name, 'apprunner') for name in _names('app', 2)}
    fleet.configure_nodes(3)
    fleet.start_nodes()
    catalogue = sample_catalogue(engines, apps)
    fleet.apply_catalogue(catalogue)
    fleet.wait_ready()
    fleet.wait_serving()
    print(fleet.operator('status').stdout, end='')
    fleet.start_load(_scenario(fleet), show=True)
    _inject_faults(fleet, catalogue)
    return _write_report(fleet.finish_load(LOAD_TIMEOUT_S), engines, apps)


def _names(kind: str, count: int) -> list[str]:
    return [f'{kind}-{number + 1}' for number in range(count)]


def _inject_faults(fleet: Fleet, catalogue: dict[str, Any]) -> None:
    time.sleep(DRAIN_AT_S)
    print('draining engine-3 by an edit of the catalogue')
    for upstream in catalogue['upstreams']:
        if upstream['name'] == 'engine-3':
            upstream['drain'] = True
    fleet.apply_catalogue(catalogue)
    time.sleep(KILL_AT_S - DRAIN_AT_S)
    print('killing host-2')
    fleet.kill('host-2')


def _write_report(
    load: dict[str, Any], engines: dict[str, str], apps: dict[str, str]
) -> int:
    report = {'lost': load['lost'], 'classes': load['classes']}
    generated = _generated_tokens(engines)
    duplicates = _duplicates(apps)
    for name, entry in report['classes'].items():
        entry['wasted_tokens'] = generated[name] - entry['tokens']
        entry['duplicates'] = duplicates[name]
    (FOLDER / 'report.json').write_text(json.dumps(report, indent=2))
    print(format_table(report['classes']))
    print(f'report: {(FOLDER / "report.json").relative_to(ROOT)}')
    return 0 if _is_correct(report) else 1


def _generated_tokens(engines: dict[str, str]) -> Counter[str]:
    tokens: Counter[str] = Counter()
    for address in engines.values():
        tokens.update(call(address, '/control')['tokens_by_class'])
    return tokens


def _duplicates(apps: dict[str, str]) -> Counter[str]:
    """Return the number of repeated executions by request class.

    Idempotency keys start with the name of the class.
    """
    executions = Counter(
        execution['key']
        for address in apps.values()
        for execution in call(address, '/control')['executions']
        if execution['key'] is not None
    )
    duplicates: Counter[str] = Counter()
    for key, count in executions.items():
        duplicates[key.split('-')[0]] += count - 1
    return duplicates


def _is_correct(report: dict[str, Any]) -> bool:
    """Return whether every answer was complete, its caller's own and executed once."""
    entries = report['classes'].values()
    faults = ('duplicates', 'incomplete', 'mixed')
    correct = not any(entry[name] for entry in entries for name in faults)
    served = all(entry['completed'] for entry in entries)
    return correct and served and not report['lost']


def _scenario(fleet: Fleet) -> dict[str, Any]:
    keys = list(KEYS.values())
    app = {'kind': 'app', 'keys': keys, 'target_of': 'answer'}
    return {
        'nodes': [settings['listen'] for settings in fleet.nodes.values()],
        'duration_s': DURATION_S,
        'patience_s': 20.0,
        'seed': 7,
        'streams': [
            {
                'name': 'coaching',
                'kind': 'chat',
                'rate_per_s': 4.0,
                'keys': keys,
                'target_ms': 460.0,
                'request_class': 'coaching',
            },
            {
                'name': 'availability',
                'rate_per_s': 10.0,
                'target_ms': 500.0,
                'path': '/apps/desk/availability',
                'method': 'GET',
                **app,
            },
            {
                'name': 'booking',
                'rate_per_s': 5.0,
                'target_ms': 2000.0,
                'path': '/apps/desk/bookings',
                'idempotency_key': True,
                **app,
            },
            {
                'name': 'drafting',
                'kind': 'chat',
                'rate_per_s': 12.0,
                'keys': keys,
                'target_ms': 5000.0,
                'streamed': False,
            },
            {
                'name': 'listing',
                'kind': 'text',
                'rate_per_s': 12.0,
                'keys': keys,
                'target_ms': 10000.0,
                'path': '/v1/completions',
            },
        ],
    }


if __name__ == '__main__':
    sys.exit(main())
