"""Stand-in for the key-value service of the platform, a subset of Consul's KV API."""

from __future__ import annotations

import base64
from typing import Any, NamedTuple

import falcon
import gevent
from gevent.event import Event

from rosemaryseam.common.clock import Clock, SystemClock
from rosemaryseam.standins.serving import ControlResource, main

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 600.0
SILENCE_S = 3600.0


class Entry(NamedTuple):
    """A value with the index of its last change."""

    value: bytes
    index: int
    session: str


class Store:
    """Keeps keys and sessions (leases), serves watches and simulates faults."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._sessions: dict[str, tuple[float, float]] = {}
        self._index = 0
        self._changed = Event()
        self.calls: dict[str, int] = {'get': 0, 'put': 0, 'watch': 0, 'session': 0}
        self.faults: dict[str, Any] = {}
        self._recent_writes: list[float] = []

    def apply(self, faults: dict[str, Any]) -> None:
        """Set faults: ``mode``, ``delay_ms``, ``lose_answers``, ``writes_per_s``."""
        self.faults.update(faults)

    def show(self) -> dict[str, Any]:
        """Return the faults, the counted calls and the number of keys."""
        return {'faults': self.faults, 'calls': self.calls, 'keys': len(self._entries)}

    def begin_call(self, kind: str) -> None:
        """Count a call and apply the configured faults.

        :param kind: kind of the call, a key of :attr:`calls`
        """
        self.calls[kind] += 1
        mode = self.faults.get('mode', 'up')
        if mode == 'silent':
            gevent.sleep(SILENCE_S)
        if mode == 'down':
            raise falcon.HTTPServiceUnavailable(title='No cluster leader')
        gevent.sleep(self.faults.get('delay_ms', 0) / 1000)

    def check_rate(self) -> None:
        """Refuse a write that exceeds the rate limit."""
        limit = self.faults.get('writes_per_s')
        now = self._clock.monotonic()
        self._recent_writes = [at for at in self._recent_writes if at > now - 1.0]
        if limit is not None and len(self._recent_writes) >= limit:
            raise falcon.HTTPTooManyRequests()
        self._recent_writes.append(now)

    def take_answer_loss(self) -> bool:
        """Return whether to withhold the answer of an applied write."""
        left = self.faults.get('lose_answers', 0)
        self.faults['lose_answers'] = max(0, left - 1)
        return left > 0

    def get(self, key: str) -> Entry | None:
        """Return a key's entry, or ``None``."""
        self._expire_sessions()
        return self._entries.get(key)

    def put(self, key: str, value: bytes, cas: int | None, acquire: str) -> bool:
        """Write a key if the index matches and no other session holds it."""
        self._expire_sessions()
        entry = self._entries.get(key)
        if cas is not None and cas != (entry.index if entry else 0):
            return False
        if acquire and entry and entry.session not in ('', acquire):
            return False
        self._index += 1
        self._entries[key] = Entry(value, self._index, acquire)
        self._wake_watches()
        return True

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._entries.pop(key, None) is not None:
            self._index += 1
            self._wake_watches()

    def wait(self, key: str, index: int, wait_s: float) -> Entry | None:
        """Wait until the key's index differs from the given one."""
        deadline = self._clock.monotonic() + min(wait_s, MAX_WAIT_S)
        entry = self.get(key)
        while (entry.index if entry else 0) == index:
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self._changed.wait(left):
                break
            entry = self.get(key)
        return self.get(key)

    def create_session(self, ttl_s: float) -> str:
        """Grant a lease and return its id."""
        self._index += 1
        session = f'session-{self._index}'
        self._sessions[session] = (ttl_s, self._clock.monotonic() + ttl_s)
        return session

    def renew_session(self, session: str) -> bool:
        """Renew a lease and return whether it was still valid."""
        self._expire_sessions()
        if session not in self._sessions:
            return False
        ttl_s = self._sessions[session][0]
        self._sessions[session] = (ttl_s, self._clock.monotonic() + ttl_s)
        return True

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _expire_sessions(self) -> None:
        now = self._clock.monotonic()
        ended = {name for name, entry in self._sessions.items() if entry[1] <= now}
        for name in ended:
            del self._sessions[name]
        for key, entry in list(self._entries.items()):
            if entry.session in ended:
                self._entries[key] = entry._replace(session='')


class KeyResource:
    """Serves ``/v1/kv/<key>``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_get(self, req: falcon.Request, resp: falcon.Response, key: str) -> None:
        """Return a key at once, or as a long poll when an index is given."""
        index = req.get_param_as_int('index')
        self._store.begin_call('get' if index is None else 'watch')
        if index is None:
            entry = self._store.get(key)
        else:
            wait_s = parse_duration_s(req.get_param('wait') or '300s')
            entry = self._store.wait(key, index, wait_s)
            self._store.begin_call('get')
            self._store.calls['get'] -= 1
        if entry is None:
            raise falcon.HTTPNotFound()
        resp.media = [
            {
                'Key': key,
                'Value': base64.b64encode(entry.value).decode(),
                'ModifyIndex': entry.index,
            }
        ]

    def on_put(self, req: falcon.Request, resp: falcon.Response, key: str) -> None:
        """Write a key, by compare-and-swap when ``cas`` is given."""
        self._store.begin_call('put')
        self._store.check_rate()
        value = req.bounded_stream.read()
        if len(value) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge()
        acquire = req.get_param('acquire') or ''
        done = self._store.put(key, value, req.get_param_as_int('cas'), acquire)
        if done and self._store.take_answer_loss():
            gevent.sleep(SILENCE_S)
        resp.media = done

    def on_delete(self, req: falcon.Request, resp: falcon.Response, key: str) -> None:
        """Delete a key."""
        self._store.begin_call('put')
        self._store.check_rate()
        self._store.delete(key)
        resp.media = True


class SessionResource:
    """Serves ``/v1/session/create`` and ``/v1/session/renew/<id>``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_put_create(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Grant a lease."""
        self._store.begin_call('session')
        ttl_s = parse_duration_s(req.get_media().get('TTL', '10s'))
        resp.media = {'ID': self._store.create_session(ttl_s)}

    def on_put_renew(
        self, req: falcon.Request, resp: falcon.Response, session: str
    ) -> None:
        """Renew a lease."""
        self._store.begin_call('session')
        if not self._store.renew_session(session):
            raise falcon.HTTPNotFound()
        resp.media = [{'ID': session}]


def parse_duration_s(text: str) -> float:
    """Parse a duration such as ``250ms`` or ``10s`` into seconds."""
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text.removesuffix('s'))


def build() -> falcon.App:
    """Return the WSGI application of the key-value service."""
    store = Store(SystemClock())
    application = falcon.App()
    sessions = SessionResource(store)
    application.add_route('/v1/kv/{key:path}', KeyResource(store))
    application.add_route('/v1/session/create', sessions, suffix='create')
    application.add_route('/v1/session/renew/{session}', sessions, suffix='renew')
    application.add_route('/control', ControlResource(store.apply, store.show))
    return application


if __name__ == '__main__':
    main(build)
