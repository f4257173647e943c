"""Tests that a permanently silent connection costs its timeout only once."""

from __future__ import annotations

import json
import socket
import time
from typing import TYPE_CHECKING, Any

import yaml
from loads import chat, scenario

from catalogues import KEYS
from fleet import ADMIN_TOKEN, call, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

TIMING = {
    'upstream_between_bytes_s': 1.0,
    'upstream_first_byte_s': 1.5,
    'catalogue_watch_s': 2.0,
}
# Silence limit of a peer, two heartbeats until the connection is replaced, one resend.
PEER_TIMEOUT_MS = 1000.0 + 2 * 200.0 + 250.0
SERVICE_MS = 1500.0  # until the first token, including queueing on a busy machine


def test_silent_connections_between_hosts_fail_no_request(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(engines=2, apps=0, relayed=True)
    _allow_waiting(fleet, 'coaching')
    target_ms = PEER_TIMEOUT_MS + SERVICE_MS
    streams = [chat('coaching', 15.0, target_ms=target_ms)]
    fleet.start_load(scenario(fleet, *streams, duration_s=8.0))
    time.sleep(3.0)
    for host in fleet.nodes:
        relay = host.replace('host', 'relay')
        assert fleet.control(relay, {'swallow_open': True})['swallowed'] > 0
    report = fleet.finish_load(60)['classes']['coaching']
    assert report['completed'] == report['offered']
    counters = json.dumps([fleet.dump(host)['counters'] for host in fleet.nodes])
    assert report['shed'] == report['retried'] == 0, counters
    assert report['attainment'] == 1.0


def _allow_waiting(fleet: Any, name: str) -> None:
    """Let requests of a class wait beyond their target instead of being refused.

    The target in the catalogue is shorter than the timeout of a silent connection.
    """
    for entry in fleet.catalogue['classes']:
        if entry['name'] == name:
            entry['on_miss'] = 'wait'
    fleet.apply_catalogue(fleet.catalogue)


def test_silent_connections_to_engines_fail_no_request(
    own_fleet: Callable[..., Any],
) -> None:
    relays: dict[str, str] = {}

    def use_relay_addresses(catalogue: dict[str, Any]) -> None:
        for upstream in catalogue['upstreams']:
            upstream['address'] = relays[upstream['name']]

    fleet = own_fleet(engines=2, apps=0, timing=TIMING)
    for name, address in fleet.engines.items():
        relays[name] = fleet.start_relay(f'relay-{name}', address)
    use_relay_addresses(fleet.catalogue)
    fleet.apply_catalogue(fleet.catalogue)
    timeout_ms = TIMING['upstream_first_byte_s'] * 1000
    streams = [chat('drafting', 10.0, target_ms=timeout_ms + SERVICE_MS)]
    fleet.start_load(scenario(fleet, *streams, duration_s=6.0))
    time.sleep(2.0)
    swallowed = [
        fleet.control(f'relay-{name}', {'swallow_open': True})['swallowed']
        for name in fleet.engines
    ]
    assert sum(swallowed) > 0
    report = fleet.finish_load(60)['classes']['drafting']
    assert report['completed'] == report['offered'], json.dumps(
        [dict(report), *[fleet.dump(h)['counters'] for h in fleet.nodes]], indent=1
    )
    assert report['retried'] == 0
    assert report['attainment'] == 1.0


def test_change_reaches_hosts_with_silent_key_value_watches(
    own_fleet: Callable[..., Any],
) -> None:
    """A change reaches hosts whose watches are silent.

    The operator tool knows no hosts, so it can't push the change to them.
    """
    fleet = own_fleet(engines=1, apps=0, timing=TIMING, relay_key_value=True)
    fleet.control('relay-keyvalue', {'swallow_open': True})
    settings = {
        'key_value': fleet.key_value_direct,
        'hosts': {},
        'admin_token': ADMIN_TOKEN,
    }
    (fleet.folder / 'operator.yaml').write_text(yaml.safe_dump(settings))
    fleet.operator('catalogue', 'apply', str(fleet.folder / 'catalogue.yaml'))
    watch_s = TIMING['catalogue_watch_s'] + 2.0  # plus the grace period of a long poll
    for host in fleet.nodes:
        wait_until(
            lambda at=host: fleet.dump(at)['catalogue']['revision'] == 2,
            f'revision 2 on {host}',
            watch_s + 3.0,
        )


def test_callers_that_stop_reading_release_their_grants(
    own_fleet: Callable[..., Any],
) -> None:
    fleet = own_fleet(
        engines=1,
        apps=0,
        nodes=1,
        engine_flags=('--step_ms=0.1', '--sequence_ms=0', '--prefill_ms=0'),
        bounds={'send_s': 1.0},
    )
    ip, port = fleet.nodes['host-1']['listen'].split(':')
    words = 'a ' * 5
    body = json.dumps({'model': 'small', 'prompt': words, 'stream': True}).encode()
    head = (
        'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n'
        f'Authorization: Bearer {KEYS["market"]}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode()
    callers = []
    for _ in range(8):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        sock.connect((ip, int(port)))
        sock.sendall(head + body)
        callers.append(sock)
    text = {'model': 'small', 'prompt': 'b', 'max_tokens': 3}
    headers = {'Authorization': f'Bearer {KEYS["market"]}'}
    address = fleet.nodes['host-1']['listen']
    answer = call(address, '/v1/completions', text, headers, timeout_s=10.0)
    assert answer['choices'][0]['finish_reason'] == 'stop'
    for sock in callers:
        sock.close()
