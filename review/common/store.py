"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .httpio import Request, encode_answer, read_request, reset

PAGE = 500


class Store:
    """Keeps keys with revisions, leases and history, and serves them over HTTP."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.era = 1  # rises by one each time it comes back from a copy
        self.mode = 'up'  # or 'busy' (503) or 'silent'
        self.cut_off: set[tuple[str, int]] = set()  # addresses that leave calls open
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._expiry: asyncio.Task[None] | None = None

    async def listen(self, ip: str) -> tuple[str, int]:
        """Listen on a free port, such as that for one machine; return the address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self._expiry = self._expiry or asyncio.create_task(self._expire())
        return server.sockets[0].getsockname()[:2]

    # What operators and servers write.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return its revision."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createdRev': known['createdRev'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'tombstone': True})

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    # The drill: the store comes back from a copy.

    def take_copy(self) -> tuple[Any, ...]:
        """Return a copy of the whole state."""
        return copy.deepcopy((self.items, self.history, self.leases, self.revision))

    def restore(self, state: tuple[Any, ...]) -> None:
        """Go back to a copy; the era rises by one."""
        self.items, self.history, self.leases, self.revision = copy.deepcopy(state)
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def set_mode(self, mode: str) -> None:
        """Set the fault and cut the calls that wait."""
        self.mode = mode
        if mode != 'up':
            for writer in list(self._writers):
                reset(writer)

    def _leaves_open(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a call gets no answer now."""
        address = writer.get_extra_info('sockname')[:2]
        return self.mode == 'silent' or address in self.cut_off

    # The calls.

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [one for one, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, one in self.items.items() if one['lease'] == lease]:
            self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self._leaves_open(writer):
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, body = (
                    (503, {}) if self.mode == 'busy' else await self._call(request)
                )
                if self._leaves_open(writer):
                    await asyncio.sleep(3600)
                headers = {'Content-Type': 'application/json'}
                headers['Store-Era'] = str(self.era)
                data = encode_answer(status, headers, json.dumps(body).encode())
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _call(self, request: Request) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == '/-/kv-range':
            prefix, after = query.get('pathPrefix', ''), query.get('after', '')
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                'items': [self.items[key] for key in keys[:PAGE]],
                'morePages': len(keys) > PAGE,
                'asOf': self.revision,
            }
        if url.path == '/-/kv-watch':
            return await self._watch(query)
        if url.path == '/-/kv-key':
            item = self.items.get(query['key'])
            return (404, {}) if item is None else (200, {**item, 'asOf': self.revision})
        if url.path == '/-/kv-txn':
            return self._write(json.loads(request.body))
        if url.path == '/-/kv-lease':
            ttl_s = json.loads(request.body)['ttlMs'] / 1000
            self.revision += 1
            self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'lease': self.revision, 'ttlMs': int(ttl_s * 1000)}
        number = int(url.path.rpartition('/')[2])
        if url.path.startswith('/-/kv-keep/'):
            if number not in self.leases:
                return 404, {}
            ttl_s = self.leases[number][0]
            self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'ttlMs': int(ttl_s * 1000)}
        self._end_lease(number)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query['after'])
        if after > self.revision:
            return 410, {}
        prefix, era = query.get('pathPrefix', ''), self.era
        deadline = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            if self.era != era:
                return 410, {}
            events = [
                one
                for one in self.history
                if one['revision'] > after and one['key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get('expectedRev') or []
        states = [self.items.get(one['key']) for one in expected]
        found = [state['revision'] if state else 0 for state in states]
        if found != [one['revision'] for one in expected]:
            items = [
                state or {'key': one['key'], 'revision': 0}
                for one, state in zip(expected, states, strict=True)
            ]
            return 412, {'items': items}
        writes = body.get('writes') or []
        if any(one.get('lease') and one['lease'] not in self.leases for one in writes):
            return 404, {}
        for one in writes:
            value = base64.b64decode(one['value'])
            self.put(one['key'], value, one.get('lease') or 0)
        for key in body.get('remove') or []:
            self.delete(key)
        return 200, {'revision': self.revision}
