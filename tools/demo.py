"""A small fleet under load, with a killed host and a drained upstream."""

from __future__ import annotations

import json
import pathlib
import shutil
import subprocess
import sys
import time
from collections import Counter
from typing import Any

import yaml

from catalogues import KEYS, sample_catalogue
from fleet import Fleet, call

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build' / 'demo'
DURATION_S = 24
DRAIN_AT_S = 6
KILL_AT_S = 12
LOAD_LIMIT_S = 90


def main() -> int:
    """Run the demo and return 0 when every answer was whole and run once."""
    shutil.rmtree(BUILD, ignore_errors=True)
    fleet = Fleet(BUILD)
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
    fleet.plan_nodes(3)
    fleet.start_nodes()
    catalogue = sample_catalogue(engines, apps)
    fleet.apply_catalogue(catalogue)
    fleet.wait_ready()
    fleet.wait_serving()
    print(fleet.operator('status').stdout, end='')
    load = _start_load(fleet)
    _disturb(fleet, catalogue)
    load.wait(LOAD_LIMIT_S)
    return _judge(engines, apps)


def _names(kind: str, count: int) -> list[str]:
    return [f'{kind}-{number + 1}' for number in range(count)]


def _start_load(fleet: Fleet) -> subprocess.Popen[bytes]:
    path = BUILD / 'scenario.yaml'
    path.write_text(yaml.safe_dump(_scenario(fleet)))
    command = [sys.executable, '-m', 'rosemaryseam.standins.load']
    flags = [f'--scenario={path}', f'--report={BUILD / "load.json"}']
    load = subprocess.Popen(command + flags)
    fleet.adopt('load', load)
    return load


def _disturb(fleet: Fleet, catalogue: dict[str, Any]) -> None:
    time.sleep(DRAIN_AT_S)
    print('draining engine-3 by an edit of the catalogue')
    for upstream in catalogue['upstreams']:
        if upstream['name'] == 'engine-3':
            upstream['drain'] = True
    fleet.apply_catalogue(catalogue)
    time.sleep(KILL_AT_S - DRAIN_AT_S)
    print('killing host-2')
    fleet.kill('host-2')


def _judge(engines: dict[str, str], apps: dict[str, str]) -> int:
    load = json.loads((BUILD / 'load.json').read_text())
    executions = Counter(
        execution['key']
        for address in apps.values()
        for execution in call(address, '/control')['executions']
        if execution['key'] is not None
    )
    counts = [call(address, '/control')['counts'] for address in engines.values()]
    classes = load['classes']
    report = {
        'classes': classes,
        'lost': load['lost'],
        'generated_tokens': sum(entry['tokens'] for entry in counts),
        'wasted_tokens': sum(entry['wasted_tokens'] for entry in counts),
        'duplicates': sum(count - 1 for count in executions.values()),
        'incomplete': sum(entry['incomplete'] for entry in classes.values()),
        'mixed': sum(entry['mixed'] for entry in classes.values()),
    }
    (BUILD / 'report.json').write_text(json.dumps(report, indent=2))
    faults = ('lost', 'duplicates', 'incomplete', 'mixed')
    for name in ('generated_tokens', 'wasted_tokens', *faults):
        print(f'{name}: {report[name]}')
    print(f'report: {(BUILD / "report.json").relative_to(ROOT)}')
    completed = all(entry['completed'] for entry in classes.values())
    return 0 if completed and not any(report[name] for name in faults) else 1


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
