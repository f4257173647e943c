"""Clients that read streams and take them up once when they are broken off."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from .httpio import read_chunks, read_head
from .scene import HOST_NAME, KEY, Scene, prompt_headers

if TYPE_CHECKING:
    from .fleet import Host, Record

CLIENT_PAUSE_S = 1.0  # before a client's only retry
DEADLINE_S = 15.0
SHARED_PARTS = [[f'aaaa{one:04d}', f'bbbb{one:04d}'] for one in range(40)]


class Event(NamedTuple):
    """An event as a client got it, with the software version that wrote it."""

    number: int
    version: str


async def read_stream(
    host: Host, name: str, first_id: str, events: list[Event], record: Record
) -> bool:
    """Send an attempt of a stream and collect its events; return whether it ended."""
    headers = {
        'Host': HOST_NAME,
        'Rosemaryseam-Attempt-Id': name,
        'Rosemaryseam-Deadline-Ms': str(int(DEADLINE_S * 1000)),
        'X-Api-Key': KEY,
        'Content-Length': '2',
        **prompt_headers(random.choice(SHARED_PARTS)),
    }
    if events:
        headers['Last-Event-Id'] = str(events[-1].number)
        headers['Resumes'] = first_id
    lines = [f'{key}: {value}' for key, value in headers.items()]
    head = '\r\n'.join(['POST /coach/x HTTP/1.1', *lines, '', '']).encode()
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*host.front)
        writer.write(head + b'{}')
        async with asyncio.timeout(DEADLINE_S):
            answer = await read_head(reader)
            status = 0 if answer is None else int(answer[0].split(' ')[1])
            record(f'{name} at {host.name} is answered {status or "not at all"}')
            if status == 200:
                await collect_events(reader, events)
            return status == 200
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return False
    finally:
        if writer is not None:
            writer.close()


async def collect_events(reader: asyncio.StreamReader, events: list[Event]) -> None:
    """Read the events of a stream to its end."""
    data = b''
    async for part in read_chunks(reader):
        data += part
        while b'\n\n' in data:
            event, _, data = data.partition(b'\n\n')
            fields = event.decode().split()
            events.append(Event(int(fields[1]), fields[-1]))


async def call(scene: Scene, name: str, events: list[Event]) -> None:
    """Read a stream, and take it up once if it is broken off."""
    host = random.choice(scene.hosts)
    scene.record(f'a client sends {name} to {host.name}')
    if await read_stream(host, name, name, events, scene.record) or not events:
        return
    await asyncio.sleep(CLIENT_PAUSE_S)
    again = f'{name}-again'
    host = random.choice(scene.hosts)
    scene.record(
        f'a client sends {again} to {host.name}: it goes on after event'
        f' {events[-1].number} of version {events[-1].version}'
    )
    whole = await read_stream(host, again, name, events, scene.record)
    scene.record(f'{again} ended {"whole" if whole else "early"} at {events[-1]}')


async def send_streams(
    scene: Scene, streams: dict[str, list[Event]], interval_s: float
) -> None:
    """Begin streams until the task is cancelled."""
    for number in itertools.count():
        name = f'stream-{number:04d}'
        streams[name] = []
        scene.spawn(call(scene, name, streams[name]))
        await asyncio.sleep(interval_s)


def count_joined(record: Record, streams: dict[str, list[Event]]) -> int:
    """Return the number of streams with events of two software versions."""
    joined = 0
    for name, events in streams.items():
        for before, after in itertools.pairwise(events):
            if before.version != after.version:
                joined += 1
                record(f'{name} joins {before} and {after}')
                break
    return joined
