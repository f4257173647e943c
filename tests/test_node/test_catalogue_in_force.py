"""An accepted change is in force on every reachable host and never reverts."""

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

IN_FORCE_S = 3.0


class _Observer:
    """Records each host's revision all the while.

    A process that has just started shows revision 0: it has none and is not ready.
    """

    def __init__(self, fleet: StartedFleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.seen: dict[str, list[int]] = {host: [] for host in fleet.nodes}
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(0.05):
            for host, seen in self.seen.items():
                try:
                    seen.append(self._fleet.dump(host)['catalogue']['revision'])
                except OSError:
                    continue


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[StartedFleet]:
    started = start_fleet(tmp_path_factory.mktemp('catalogue'), engines=1, apps=0)
    observer = _Observer(started)
    yield started
    observer.stop()
    started.stop()
    for host, seen in observer.seen.items():
        held = [revision for revision in seen if revision > 0]
        assert held == sorted(held), f'{host} went back'


def _revision(fleet: StartedFleet, host: str) -> int:
    return fleet.dump(host)['catalogue']['revision']


def _apply(fleet: StartedFleet, *flags: str, **change: Any) -> tuple[int, int]:
    """Apply an edited catalogue; return exit code and the revision before."""
    before = max(_revision(fleet, host) for host in fleet.nodes)
    document = copy.deepcopy(fleet.catalogue)
    document['classes'][0].update({'max_wait_ms': 3000 + before, **change})
    path = fleet.folder / f'edited-{time.monotonic_ns()}.yaml'
    path.write_text(yaml.safe_dump(document))
    done = fleet.operator(*flags, 'catalogue', 'apply', str(path))
    return done.returncode, before


def _wait_in_force(fleet: StartedFleet, revision: int, *hosts: str) -> None:
    for host in hosts or fleet.nodes:
        wait_until(
            lambda at=host: _revision(fleet, at) >= revision,
            f'revision {revision} on {host}',
            IN_FORCE_S,
        )


def test_outage_right_after_the_acceptance(fleet: StartedFleet) -> None:
    code, before = _apply(fleet)
    fleet.control('keyvalue', {'mode': 'down'})
    assert code == ResultCode.OK
    _wait_in_force(fleet, before + 1)
    fleet.kill('host-3')
    fleet.start_node('host-3')
    fleet.wait_ready('host-3')
    assert _revision(fleet, 'host-3') == before + 1, 'taken from its peers'
    fleet.control('keyvalue', {'mode': 'up'})


def test_lost_answer_is_recognised(fleet: StartedFleet) -> None:
    fleet.control('keyvalue', {'lose_answers': 1})
    code, before = _apply(fleet)
    assert code == ResultCode.OK
    _wait_in_force(fleet, before + 1)


def test_frozen_host_catches_up(fleet: StartedFleet) -> None:
    fleet.freeze('host-2')
    settings = fleet.folder / 'operator.yaml'
    whole = settings.read_text()
    document = yaml.safe_load(whole)
    del document['hosts']['host-2']
    settings.write_text(yaml.safe_dump(document))
    before = _revision(fleet, 'host-1')
    for number in range(3):
        edited = copy.deepcopy(fleet.catalogue)
        edited['classes'][0]['max_wait_ms'] = 4000 + number
        path = fleet.folder / f'frozen-{number}.yaml'
        path.write_text(yaml.safe_dump(edited))
        fleet.operator('catalogue', 'apply', str(path), check=True)
    fleet.thaw('host-2')
    settings.write_text(whole)
    _wait_in_force(fleet, before + 3, 'host-2')


def test_racing_operators(fleet: StartedFleet) -> None:
    """Of operators who start from one revision, one wins and the others are told."""
    base = _revision(fleet, 'host-1')
    codes: list[int] = []

    def apply(number: int) -> None:
        edited = copy.deepcopy(fleet.catalogue)
        edited['classes'][0]['max_wait_ms'] = 5000 + number
        path = fleet.folder / f'race-{number}.yaml'
        path.write_text(yaml.safe_dump(edited))
        done = fleet.operator(f'--base={base}', 'catalogue', 'apply', str(path))
        codes.append(done.returncode)

    racers = [threading.Thread(target=apply, args=(number,)) for number in range(5)]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    lost = [ResultCode.CATALOGUE_CONFLICT] * 4
    assert sorted(codes) == [ResultCode.OK, *lost]
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
def test_rejected_change_leaves_everything(
    fleet: StartedFleet, change: dict[str, Any], names: str
) -> None:
    before = _revision(fleet, 'host-1')
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
    assert {_revision(fleet, host) for host in fleet.nodes} == {before}


@pytest.mark.parametrize('stored', ['older', 'junk', 'bad document'])
def test_what_the_service_holds_never_reverts_a_host(
    fleet: StartedFleet, stored: str
) -> None:
    """An older or invalid value in the service changes no host."""
    path = f'/v1/kv/{CATALOGUE_KEY}'
    present = base64.b64decode(call(fleet.key_value, path)[0]['Value'])
    revision = json.loads(present)
    values = {
        'older': {**revision, 'revision': 1, 'history': revision['history'][:1]},
        'junk': 'nothing',
        'bad document': {**revision, 'text': 'classes: 1'},
    }
    _put(fleet, json.dumps(values[stored]).encode())
    before = {host: _revision(fleet, host) for host in fleet.nodes}
    time.sleep(1.0)
    assert {host: _revision(fleet, host) for host in fleet.nodes} == before
    _put(fleet, present)
    code, _ = _apply(fleet)
    assert code == ResultCode.OK
    _wait_in_force(fleet, max(before.values()) + 1)


def test_change_is_used(fleet: StartedFleet) -> None:
    """A drained engine is drained on every host within the time."""
    document = sample_catalogue(fleet.engines, {})
    document['upstreams'][0]['drain'] = True
    before = _revision(fleet, 'host-1')
    fleet.apply_catalogue(document)
    _wait_in_force(fleet, before + 1)
    moment = time.monotonic() + IN_FORCE_S
    log = fleet.control('engine-1')['log']
    assert not [at for at, event, *_ in log if event == 'accepted' and at > moment]
    fleet.apply_catalogue(fleet.catalogue)


def _put(fleet: StartedFleet, value: bytes) -> None:
    url = f'http://{fleet.key_value}/v1/kv/{CATALOGUE_KEY}'
    request = urllib.request.Request(url, value, method='PUT')
    urllib.request.urlopen(request, timeout=5).close()
