"""Tests of the operators' command: its text for people and JSON for programs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import yaml

from catalogues import sample_catalogue
from rosemaryseam.common.errors import ResultCode

if TYPE_CHECKING:
    import pathlib

    from fleets import StartedFleet


@pytest.mark.parametrize(
    'words',
    [(), ('nothing',), ('catalogue',), ('catalogue', 'apply'), ('dump',)],
    ids=' '.join,
)
def test_usage_is_printed(shared_fleet: StartedFleet, words: tuple[str, ...]) -> None:
    done = shared_fleet.operator(*words)
    assert done.returncode == ResultCode.USAGE
    assert done.stderr.startswith('usage: rosemaryseam ')


@pytest.mark.parametrize(
    ('words', 'code', 'expected'),
    [
        (('dump', 'host-9'), ResultCode.USAGE, "'host-9' is not among the hosts"),
        (
            ('catalogue', 'check', 'nowhere.yaml'),
            ResultCode.SETTINGS_FILE_MISSING,
            'nowhere.yaml',
        ),
    ],
)
def test_errors_are_printed_in_one_line(
    shared_fleet: StartedFleet, words: tuple[str, ...], code: int, expected: str
) -> None:
    done = shared_fleet.operator(*words)
    assert done.returncode == code
    assert expected in done.stderr
    assert done.stderr.count('\n') == 1


def test_status_is_printed_as_text_and_json(shared_fleet: StartedFleet) -> None:
    text = shared_fleet.operator('status', check=True).stdout
    data = json.loads(shared_fleet.operator('--json', 'status', check=True).stdout)
    assert set(data) == set(shared_fleet.nodes)
    for host, entry in data.items():
        assert f'{host}: zone {entry["zone"]}, ready' in text
    partitions = [name for entry in data.values() for name in entry['partitions']]
    assert sorted(partitions) == ['desk#0', 'models#0']


def test_dump_is_json(shared_fleet: StartedFleet) -> None:
    done = shared_fleet.operator('dump', 'host-1', check=True)
    assert json.loads(done.stdout)['host'] == 'host-1'


def test_catalogue_file_is_checked_and_compared(
    shared_fleet: StartedFleet, tmp_path: pathlib.Path
) -> None:
    document = sample_catalogue(shared_fleet.engines, shared_fleet.apps, concurrent=9)
    path = tmp_path / 'changed.yaml'
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    checked = shared_fleet.operator('catalogue', 'check', str(path), check=True)
    assert '4 upstreams' in checked.stdout
    diff = shared_fleet.operator('catalogue', 'diff', str(path), check=True).stdout
    assert '+    concurrent: 9' in diff.replace('      ', '    ')
    assert '-    concurrent: 8' in diff.replace('      ', '    ')


def test_history_lists_changes(shared_fleet: StartedFleet) -> None:
    done = shared_fleet.operator('--json', 'catalogue', 'history', check=True)
    changes = json.loads(done.stdout)
    assert changes[0]['author'] == 'operator'
    assert changes[0]['revision'] == len(changes)


def test_status_names_an_unreachable_host(
    shared_fleet: StartedFleet, tmp_path: pathlib.Path
) -> None:
    settings = yaml.safe_load((shared_fleet.folder / 'operator.yaml').read_text())
    settings['hosts']['host-9'] = '127.0.0.1:9'
    path = tmp_path / 'operator.yaml'
    path.write_text(yaml.safe_dump(settings))
    done = shared_fleet.operator(f'--settings={path}', 'status')
    assert done.returncode == ResultCode.HOST_UNREACHABLE
    assert 'host-9: host host-9 at 127.0.0.1:9: ' in done.stdout
    assert 'host-1: zone zone-a, ready' in done.stdout
