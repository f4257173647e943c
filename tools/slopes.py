"""Measures how the cost of control work grows with the fleet (docs/CAPACITY.md)."""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from typing import Any

import yaml

from catalogues import sample_catalogue
from rosemaryseam.common.catalogue import Catalogue, load_catalogue
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.node import messages
from rosemaryseam.node.assignment import (
    PartitionConfig,
    assign_partitions,
    plan_partitions,
)
from rosemaryseam.node.codec import Frame, decode_frame, encode_frame
from rosemaryseam.node.member import LIVE, MembershipView, MemberTask, Peer
from rosemaryseam.node.partition import Partition
from rosemaryseam.node.settings import Bounds, Timing
from rosemaryseam.node.transport import Transport
from rosemaryseam.policy.requests import QueuedRequest

MEMBER_COUNTS = (8, 100, 1100)
UPSTREAM_COUNTS = (100, 1000, 10_000)
HOSTS_PER_PARTITION = (3, 8, 30)
GRANT_COUNT = 2000
ROUNDS = 20
MICROSECONDS = 1e6


class RecordingTransport(Transport):
    """A transport that records the sent messages."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, host: str, message: messages.Message) -> None:
        """Keep a message."""
        self.sent.append(message)

    def send_to_address(self, address: str, message: messages.Message) -> None:
        """Keep a message."""
        self.sent.append(message)

    def register(self, host: str, address: str) -> None:
        """Ignore the address."""

    def reset(self, address: str) -> None:
        """Do nothing, since there are no connections."""


def main() -> None:
    """Print all measurements as JSON."""
    report = {
        'members': [_measure_members(count) for count in MEMBER_COUNTS],
        'grants': [_measure_grants(count) for count in HOSTS_PER_PARTITION],
        'catalogue': [_measure_catalogue(count) for count in UPSTREAM_COUNTS],
    }
    print(json.dumps(report, indent=2))


def _member_info(number: int) -> messages.MemberInfo:
    address = f'10.0.{number // 250}.{number % 250 + 1}:9000'
    return messages.MemberInfo(f'host-{number}', 1, 'zone-a', address, LIVE)


def _measure_members(count: int) -> dict[str, Any]:
    """Return the cost of a round of heartbeats with a number of members."""
    transport = RecordingTransport()
    tracemalloc.start()
    task = MemberTask(
        SystemClock(),
        Metrics(),
        Timing(),
        transport,
        random.Random(1),
        _member_info(0),
        (),
        lambda _view: None,
    )
    for number in range(1, count):
        heartbeat = messages.Heartbeat(_member_info(number), 1, 0, 1, (), ())
        task.handle(messages.Received(f'host-{number}', heartbeat))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    transport.sent.clear()
    started = time.process_time()
    for _ in range(ROUNDS):
        task.tick()
    tick_s = (time.process_time() - started) / ROUNDS
    sent = len(transport.sent) / ROUNDS
    frame = Frame('host-0', 1, (transport.sent[-1],))
    started = time.process_time()
    for _ in range(1000):
        data = encode_frame(frame)
    encode_s = (time.process_time() - started) / 1000
    started = time.process_time()
    for _ in range(1000):
        decode_frame(data)
    decode_s = (time.process_time() - started) / 1000
    return {
        'members': count,
        'table_kb': memory // 1000,
        'tick_us': round(tick_s * MICROSECONDS),
        'heartbeats_a_round': sent,
        'heartbeat_bytes': len(data),
        'encode_us': round(encode_s * MICROSECONDS),
        'decode_us': round(decode_s * MICROSECONDS),
    }


def _catalogue_text(upstreams: int) -> str:
    addresses = {
        f'engine-{n}': f'10.{n // 65_025}.{n // 255 % 255}.{n % 255}:80'
        for n in range(upstreams)
    }
    document = sample_catalogue(addresses, {})
    template = document['workspaces'][0]
    document['workspaces'] = [
        {**template, 'name': f'workspace-{n}', 'keys': [f'{n:064x}']}
        for n in range(640)
    ]
    return yaml.safe_dump(document)


def _measure_catalogue(upstreams: int) -> dict[str, Any]:
    """Return the cost of a catalogue with 640 workspaces."""
    text = _catalogue_text(upstreams)
    started = time.process_time()
    catalogue = load_catalogue(text)
    load_s = time.process_time() - started
    tracemalloc.start()
    loaded = load_catalogue(text)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    plans = plan_partitions(catalogue)
    plan_s = time.process_time() - started
    view = MembershipView(
        'host-0', tuple(_peer(n) for n in range(1100)), (), frozenset()
    )
    started = time.process_time()
    assign_partitions(plans, view)
    assign_s = time.process_time() - started
    return {
        'upstreams': len(loaded.upstreams),
        'bytes': len(text),
        'load_ms': round(load_s * 1000),
        'memory_kb': memory // 1000,
        'plan_ms': round(plan_s * 1000),
        'partitions': len(plans),
        'assign_ms_at_1100_members': round(assign_s * 1000),
    }


def _peer(number: int) -> Peer:
    return Peer(f'host-{number}', 1, f'zone-{number % 11}', LIVE, True, 1)


def _measure_grants(hosts: int) -> dict[str, Any]:
    """Return the dispatcher's cost of a grant in a partition with 32 upstreams."""
    catalogue = load_catalogue(_catalogue_text(32))
    now = 0.0
    partition, transport = _serving_partition(catalogue, hosts, now)
    transport.sent.clear()
    keys = [f'key-{n}' for n in range(GRANT_COUNT)]
    started = time.process_time()
    for number, key in enumerate(keys):
        now += 0.001
        host = f'host-{number % hosts}'
        partition.on_request(_queued_request(key, host, now), now)
        _acknowledge_leases(partition, transport, hosts, now)
        release = messages.Release(key, 'models#0', 'engine-0', 'done', 50, 30, 300)
        partition.on_release(host, release, now)
    grant_s = (time.process_time() - started) / GRANT_COUNT
    return {'hosts': hosts, 'upstreams': 32, 'grant_us': round(grant_s * MICROSECONDS)}


def _serving_partition(
    catalogue: Catalogue, hosts: int, now: float
) -> tuple[Partition, RecordingTransport]:
    transport = RecordingTransport()
    view = MembershipView(
        'host-0', tuple(_peer(n) for n in range(hosts)), (), frozenset()
    )
    config = PartitionConfig(
        catalogue.upstreams, {c.name: c for c in catalogue.classes}
    )
    epoch = messages.Epoch(1, 'host-0')
    partition = Partition(
        'models#0',
        epoch,
        view,
        config,
        Timing(),
        Bounds(),
        Metrics(),
        transport.send,
        now,
    )
    for number in range(hosts):
        holdings = messages.Holdings('models#0', epoch, 0, (), (), False)
        partition.on_holdings(f'host-{number}', holdings, now)
    _acknowledge_leases(partition, transport, hosts, now)
    return partition, transport


def _acknowledge_leases(
    partition: Partition, transport: RecordingTransport, hosts: int, now: float
) -> None:
    leases = [entry for entry in transport.sent if isinstance(entry, messages.Lease)]
    transport.sent.clear()
    if leases:
        for number in range(hosts):
            partition.on_ack(f'host-{number}', leases[-1].version, now)


def _queued_request(key: str, host: str, now: float) -> QueuedRequest:
    return QueuedRequest(
        key=key,
        host=host,
        request_class='drafting',
        tier=1,
        workspace='workspace-1',
        weight=1.0,
        arrived=now,
        due=now + 5.0,
        expires_at=now + 30.0,
        floor=0.0,
        shed_on_miss=False,
        excluded=frozenset(),
        prefix='',
    )


if __name__ == '__main__':
    main()
