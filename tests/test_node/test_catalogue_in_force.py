"""Tests that accepted catalogue changes reach all reachable hosts and never revert."""

from __future__ import annotations

import base64
import copy
import json
import threading
import time
import urllib.request
from typing import TYPE_CHECKING, Any

import pytest
import yaml
from fleets import StartedFleet, start_fleet

from catalogues import sample_catalogue
from fleet import call, wait_until
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.revisions import CATALOGUE_KEY

if TYPE_CHECKING:
    from collections.abc import Iterator

IN_FORCE_TIMEOUT_S = 3.0


class _RevisionRecorder:
    """Thread that continuously records the catalogue revision of each host.

    A process without a catalogue reports revision 0; it has just started and isn't
    ready yet.
    """

    def __init__(self, fleet: StartedFleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.revisions: dict[str, list[int]] = {host: [] for host in fleet.nodes}
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(0.05):
            for host, revisions in self.revisions.items():
                try:
                    revisions.append(self._fleet.dump(host)['catalogue']['revision'])
                except OSError:
                    continue


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[StartedFleet]:
    started = start_fleet(tmp_path_factory.mktemp('catalogue'), engines=1, apps=0)
    recorder = _RevisionRecorder(started)
    yield started
    recorder.stop()
    started.stop()
    for host, revisions in recorder.revisions.items():
        held = [revision for revision in revisions if revision > 0]
        assert held == sorted(held), f'the catalogue revision of {host} decreased'


def _revision_in_force(fleet: StartedFleet, host: str) -> int:
    return fleet.dump(host)['catalogue']['revision']


def _apply(fleet: StartedFleet, *flags: str, **change: Any) -> tuple[int, int]:
    """Apply an edited catalogue; return the exit code and the previous revision."""
    before = max(_revision_in_force(fleet, host) for host in fleet.nodes)
    document = copy.deepcopy(fleet.catalogue)
    document['classes'][0].update({'max_wait_ms': 3000 + before, **change})
    path = fleet.folder / f'edited-{time.monotonic_ns()}.yaml'
    path.write_text(yaml.safe_dump(document))
    done = fleet.operator(*flags, 'catalogue', 'apply', str(path))
    return done.returncode, before


def _wait_in_force(fleet: StartedFleet, revision: int, *hosts: str) -> None:
    for host in hosts or fleet.nodes:
        wait_until(
            lambda at=host: _revision_in_force(fleet, at) >= revision,
            f'revision {revision} on {host}',
            IN_FORCE_TIMEOUT_S,
        )


def test_accepted_change_spreads_during_a_key_value_outage(fleet: StartedFleet) -> None:
    code, before = _apply(fleet)
    fleet.control('keyvalue', {'mode': 'down'})
    assert code == ResultCode.OK
    _wait_in_force(fleet, before + 1)
    fleet.kill('host-3')
    fleet.start_node('host-3')
    fleet.wait_ready('host-3')
    assert _revision_in_force(fleet, 'host-3') == before + 1, (
        'the revision must come from the peers'
    )
    fleet.control('keyvalue', {'mode': 'up'})


def test_apply_with_a_lost_answer_succeeds(fleet: StartedFleet) -> None:
    fleet.control('keyvalue', {'lose_answers': 1})
    code, before = _apply(fleet)
    assert code == ResultCode.OK
    _wait_in_force(fleet, before + 1)


def test_frozen_host_catches_up(fleet: StartedFleet) -> None:
    fleet.freeze('host-2')
    settings = fleet.folder / 'operator.yaml'
    complete_text = settings.read_text()
    document = yaml.safe_load(complete_text)
    del document['hosts']['host-2']
    settings.write_text(yaml.safe_dump(document))
    before = _revision_in_force(fleet, 'host-1')
    for number in range(3):
        edited = copy.deepcopy(fleet.catalogue)
        edited['classes'][0]['max_wait_ms'] = 4000 + number
        path = fleet.folder / f'frozen-{number}.yaml'
        path.write_text(yaml.safe_dump(edited))
        fleet.operator('catalogue', 'apply', str(path), check=True)
    fleet.thaw('host-2')
    settings.write_text(complete_text)
    _wait_in_force(fleet, before + 3, 'host-2')


def test_one_of_concurrent_applies_succeeds(fleet: StartedFleet) -> None:
    """One apply from a common base revision succeeds, the others report a conflict."""
    base = _revision_in_force(fleet, 'host-1')
    codes: list[int] = []

    def apply(number: int) -> None:
        edited = copy.deepcopy(fleet.catalogue)
        edited['classes'][0]['max_wait_ms'] = 5000 + number
        path = fleet.folder / f'race-{number}.yaml'
        path.write_text(yaml.safe_dump(edited))
        done = fleet.operator(f'--base={base}', 'catalogue', 'apply', str(path))
        codes.append(done.returncode)

    operators = [threading.Thread(target=apply, args=(number,)) for number in range(5)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    conflicts = [ResultCode.CATALOGUE_CONFLICT] * 4
    assert sorted(codes) == [ResultCode.OK, *conflicts]
    _wait_in_force(fleet, base + 1)


@pytest.mark.parametrize(
    ('change', 'names'),
    [
        ({'tier': -1}, 'classes.0.tier'),
        ({'target': {}}, 'classes.0.target'),
        ({'unheard': 1}, 'classes.0.unheard'),
        ({'name': 'other'}, 'workspaces.0.classes.0'),
    ],
)
def test_invalid_change_is_rejected_without_effect(
    fleet: StartedFleet, change: dict[str, Any], names: str
) -> None:
    before = _revision_in_force(fleet, 'host-1')
    document = copy.deepcopy(fleet.catalogue)
    document['classes'][0].update(change)
    path = fleet.folder / 'bad.yaml'
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    done = fleet.operator('catalogue', 'apply', str(path))
    assert done.returncode == ResultCode.CATALOGUE_INVALID
    assert names in done.stderr
    assert 'line ' in done.stderr
    shown = json.loads(fleet.operator('--json', 'catalogue', 'show').stdout)
    assert shown['revision'] == before
    assert {_revision_in_force(fleet, host) for host in fleet.nodes} == {before}


@pytest.mark.parametrize('stored', ['older', 'junk', 'bad document'])
def test_older_or_invalid_stored_value_changes_no_host(
    fleet: StartedFleet, stored: str
) -> None:
    """Stores a value past the operator tool; the hosts keep their revision."""
    path = f'/v1/kv/{CATALOGUE_KEY}'
    present = base64.b64decode(call(fleet.key_value, path)[0]['Value'])
    revision = json.loads(present)
    values = {
        'older': {**revision, 'revision': 1, 'history': revision['history'][:1]},
        'junk': 'nothing',
        'bad document': {**revision, 'text': 'classes: 1'},
    }
    _store_value(fleet, json.dumps(values[stored]).encode())
    before = {host: _revision_in_force(fleet, host) for host in fleet.nodes}
    time.sleep(1.0)
    assert {host: _revision_in_force(fleet, host) for host in fleet.nodes} == before
    _store_value(fleet, present)
    code, _ = _apply(fleet)
    assert code == ResultCode.OK
    _wait_in_force(fleet, max(before.values()) + 1)


def test_drained_engine_gets_no_new_requests(fleet: StartedFleet) -> None:
    """No host sends requests to a drained engine after the change is in force."""
    document = sample_catalogue(fleet.engines, {})
    document['upstreams'][0]['drain'] = True
    before = _revision_in_force(fleet, 'host-1')
    fleet.apply_catalogue(document)
    _wait_in_force(fleet, before + 1)
    in_force_at = time.monotonic() + IN_FORCE_TIMEOUT_S
    log = fleet.control('engine-1')['log']
    assert not [at for at, event, *_ in log if event == 'accepted' and at > in_force_at]
    fleet.apply_catalogue(fleet.catalogue)


def _store_value(fleet: StartedFleet, value: bytes) -> None:
    url = f'http://{fleet.key_value}/v1/kv/{CATALOGUE_KEY}'
    request = urllib.request.Request(url, value, method='PUT')
    urllib.request.urlopen(request, timeout=5).close()
