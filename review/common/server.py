"""Stand-in of a runner, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from typing import TYPE_CHECKING, NamedTuple

from .httpio import Request, encode_answer, encode_chunk, read_request, reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from .fleet import Record
    from .store import Store

_numbers = itertools.count(1)


class Arrival(NamedTuple):
    """A request that reached a runner, whether or not it was run."""

    at: float
    runner: str
    peer: str  # address of the machine that sent it
    id: str
    tenant: str
    request: Request
    ran: bool


class Runner:
    """A runner with its entry in the store.

    :param deadly_part: id of the prompt part on which it crashes
    """

    def __init__(
        self,
        service: str,
        ip: str,
        store: Store,
        record: Record,
        arrivals: list[Arrival],
        slots: int = 64,
        work_s: float = 0.02,
        deadly_part: str = '',
        on_crash: Callable[[Runner], None] = lambda _: None,
        port: int = 0,
        name: str = '',
        version: str = '1',
        events: int = 8,
        event_s: float = 0.01,
    ) -> None:
        self.id = name or f'i-{next(_numbers):02d}{random.randrange(16**6):06x}'
        self.service = service
        self.ip = ip
        self.port = port
        self.work_s = work_s
        self.state = 'ready'
        self.version = version
        self._events = events
        self._event_s = event_s
        self.crashed = False
        self._store = store
        self._record = record
        self._arrivals = arrivals
        self._slots = slots
        self._deadly_part = deadly_part
        self._on_crash = on_crash
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Write the entry in the store, if the store is up."""
        if self._store.mode != 'up':
            self._record(f'{self.id} at version {self.version} cannot reach the store')
            return
        self._sequence += 1
        entry = {
            'service': self.service,
            'addr': f'{self.ip}:{self.port}',
            'zone': 'a',
            'version': self.version,
            'slots': self._slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self._sequence,
            'born': self._born,
        }
        revision = self._store.put(f'servers/{self.id}', json.dumps(entry).encode())
        self._record(
            f'store acknowledges {self.id} of {self.service} as {self.state}'
            f' at version {self.version}, revision {revision}'
        )

    def crash(self) -> None:
        """Reset all connections and refuse new ones, as a process that has ended."""
        if self.crashed:
            return
        self.crashed = True
        self._record(f'{self.id} crashes and ends')
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._on_crash(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _headers(self, request: Request) -> dict[str, str]:
        number = request.headers.get('rosemaryseam-attempt-id', '')
        return {
            'Rosemaryseam-Attempt-Id': number,
            'Rosemaryseam-Server-Load': f'{self._running},0,{self._slots}',
        }

    def _stamp(self) -> str:
        return f'{self.id}.{next(_numbers)}.{random.randrange(16**8):08x}'

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        fields = request.headers
        ran = fields.get('rosemaryseam-expect-instance', self.id) == self.id
        number = fields.get('rosemaryseam-attempt-id', '')
        tenant = fields.get('rosemaryseam-tenant', '')
        peer = writer.get_extra_info('peername')[0]
        arrival = Arrival(time.monotonic(), self.id, peer, number, tenant, request, ran)
        self._arrivals.append(arrival)
        self._record(
            f'{self.id} ({self.service}) gets {number} {request.target} of tenant'
            f' {tenant or "-"} from {peer}{"" if ran else " and declines"}'
        )
        headers = self._headers(request)
        if not ran:
            headers['Rosemaryseam-Not-Executed'] = '1'
            writer.write(encode_answer(421, headers, b''))
            return
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
            parts = fields.get('rosemaryseam-prompt-prefix', '').split(',')
            if any(p.split(':')[0] == self._deadly_part for p in parts[:-1] if p):
                self.crash()
                raise ConnectionResetError
            headers['Rosemaryseam-Server-Stamp'] = self._stamp()
            if 'rosemaryseam-token-counts' in fields:
                await self._stream(request, writer, headers)
            else:
                body = f'answer to {number} by {self.id}'.encode()
                writer.write(encode_answer(200, headers, body))
        finally:
            self._running -= 1

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        first = int(request.headers.get('last-event-id') or 0) + 1
        headers = {
            **headers,
            'Content-Type': 'text/event-stream',
            'Rosemaryseam-Weight-Versions': '1',
        }
        writer.write(encode_answer(200, headers, None))
        for number in range(first, self._events + 1):
            event = f'id: {number}\ndata: piece {number} version {self.version}\n\n'
            if self.crashed or writer.is_closing():
                raise ConnectionResetError
            writer.write(encode_chunk(event.encode()))
            await asyncio.sleep(self._event_s)
        if self.crashed or writer.is_closing():
            raise ConnectionResetError
        writer.write(encode_chunk(b''))
