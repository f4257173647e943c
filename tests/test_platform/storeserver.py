"""A fake of the platform's store with its HTTP API."""

from __future__ import annotations

import base64
from typing import Any

import falcon
import gevent

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.rangestore import (
    ConflictError,
    Expected,
    HistoryLostError,
    Item,
    Lease,
    RefusedError,
    StorePosition,
    Write,
)
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts
from rosemaryseam.standins.rangestore import MemoryRangeStore


class _EraHeader:
    """Adds the header with the store's era to all answers."""

    def __init__(self, store: MemoryRangeStore) -> None:
        self._store = store

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Add the header."""
        resp.set_header('Store-Era', str(self._store.era))


class StoreServer:
    """Serves an in-memory store and injects faults.

    ``fault`` is an HTTP status with which every call is refused, ``silent`` to leave
    calls unanswered, or ``lose`` to make writes without answering them.

    :param page: maximum number of items in one page
    """

    def __init__(self, page: int = 500) -> None:
        self.store = MemoryRangeStore(SystemClock())
        self.fault: int | str | None = None
        self._page = page
        application = falcon.App(middleware=[_EraHeader(self.store)])
        application.add_route('/-/kv-range', self, suffix='range')
        application.add_route('/-/kv-watch', self, suffix='watch')
        application.add_route('/-/kv-txn', self, suffix='txn')
        application.add_route('/-/kv-key', self, suffix='key')
        application.add_route('/-/kv-lease-end/{lease:int}', self, suffix='lease_end')
        application.add_route('/-/kv-lease', self, suffix='lease')
        application.add_route('/-/kv-keep/{lease:int}', self, suffix='keep')
        self._server = HttpServer(
            Address('127.0.0.1', 0), application, ServerTimeouts()
        )
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def on_get_range(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return a page of items."""
        self._inject_fault()
        items = self.store.read_range(req.get_param('pathPrefix') or '').items
        after = req.get_param('after') or ''
        rest = [item for item in items if item.key > after]
        resp.media = {
            'items': [_encode_item(item) for item in rest[: self._page]],
            'morePages': len(rest) > self._page,
            'asOf': self.store.revision,
        }

    def on_get_watch(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Wait for changes."""
        self._inject_fault()
        wait_s = req.get_param_as_int('waitMs') / 1000
        try:
            after = StorePosition(self.store.era, req.get_param_as_int('after'))
            changes = self.store.watch_range(
                req.get_param('pathPrefix') or '', after, wait_s
            )
        except HistoryLostError:
            raise falcon.HTTPGone() from None
        resp.media = {
            'events': [_encode_item(item) for item in changes.items],
            'asOf': changes.position.revision,
        }

    def on_post_txn(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Write and remove keys."""
        self._inject_fault()
        body = req.get_media()
        writes = [
            Write(entry['key'], base64.b64decode(entry['value']), entry['lease'])
            for entry in body['writes']
        ]
        expected = [Expected(**entry) for entry in body['expectedRev']]
        try:
            position = self.store.write(writes, body['remove'], expected)
        except ConflictError as exc:
            resp.status = falcon.HTTP_412
            resp.media = {'items': [_encode_item(item) for item in exc.items]}
            return
        except RefusedError:
            raise falcon.HTTPNotFound() from None
        self._inject_fault_after_write()
        resp.media = {'revision': position.revision}

    def on_get_key(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return one key."""
        self._inject_fault()
        state = self.store.read_key(req.get_param('key'))
        if state.item is None:
            raise falcon.HTTPNotFound()
        resp.media = {
            **_encode_item(state.item),
            'createdRev': state.created,
            'lease': state.lease,
            'asOf': self.store.revision,
        }

    def on_delete_lease_end(
        self, req: falcon.Request, resp: falcon.Response, lease: int
    ) -> None:
        """End a lease."""
        self._inject_fault()
        self.store.end_lease(Lease(lease, self.store.era))

    def on_post_lease(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Grant a lease."""
        self._inject_fault()
        ttl_ms = req.get_media()['ttlMs']
        lease = self.store.grant_lease(ttl_ms / 1000)
        resp.media = {'lease': lease.id, 'ttlMs': ttl_ms}

    def on_post_keep(
        self, req: falcon.Request, resp: falcon.Response, lease: int
    ) -> None:
        """Renew a lease."""
        self._inject_fault()
        if not self.store.renew_lease(Lease(lease, self.store.era)):
            raise falcon.HTTPNotFound()
        resp.media = {'ttlMs': 1000}

    def _inject_fault(self) -> None:
        if isinstance(self.fault, int):
            raise falcon.HTTPError(str(self.fault))
        if self.fault == 'silent':
            gevent.sleep(5.0)

    def _inject_fault_after_write(self) -> None:
        if self.fault == 'lose':
            gevent.sleep(5.0)


def _encode_item(item: Item) -> dict[str, Any]:
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'tombstone': True}
    value = base64.b64encode(item.value).decode()
    return {'key': item.key, 'value': value, 'revision': item.revision, 'lease': 0}
