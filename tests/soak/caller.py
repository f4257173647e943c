"""Callers of the soak: each keeps a connection open until the router closes it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent import socket
from records import KINDS, Sent

from rosemaryseam.platform.headers import HEADER_NAMES

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from records import History

PATIENCE_S = {'safe': 1.5, 'unsafe': 1.5, 'stream': 4.0, 'once': 4.0}
GAP_S = 0.06
LEAVE_SHARE = 0.04
HOST = 'soak.example'


class Caller:
    """Sends requests to one router, one after the other.

    :param name: in the ids of its requests
    :param router: name of the router
    :param address: of the router
    :param pick_key: returns a key to use now
    :param history: gets its requests
    :param rng: decides what it sends
    """

    def __init__(
        self,
        name: str,
        router: str,
        address: tuple[str, int],
        pick_key: Callable[[], str],
        history: History,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._router = router
        self._address = address
        self._pick_key = pick_key
        self._history = history
        self._rng = rng
        self._sock: Any = None
        self._number = 0
        self.stopping = False

    def run(self) -> None:
        """Send until told to stop."""
        while not self.stopping:
            gevent.sleep(self._rng.expovariate(1 / GAP_S))
            if self._sock is None and not self._connect():
                gevent.sleep(0.1)
                continue
            self._request()

    def _connect(self) -> bool:
        try:
            self._sock = socket.create_connection(self._address, timeout=0.5)
        except OSError:
            return False
        return True

    def _request(self) -> None:
        kind = self._rng.choice(KINDS)
        self._number += 1
        entry = Sent(
            id=f'{self._name}-{self._number}',
            kind=kind,
            router=self._router,
            key=self._pick_key(),
            at=time.monotonic(),
            patience_s=PATIENCE_S[kind],
        )
        leaves_s = None
        if self._rng.random() < LEAVE_SHARE:
            leaves_s = self._rng.uniform(0.0, 0.3)
        self._history.sent.append(entry)
        try:
            with gevent.Timeout(leaves_s or entry.patience_s + 1.0):
                entry.ended = 'answered' if self._exchange(entry) else 'cut'
        except gevent.Timeout:
            entry.ended = 'left'
        except OSError:
            entry.ended = 'cut'
        entry.ended_at = time.monotonic()
        if entry.ended != 'answered':
            self._close()

    def _exchange(self, entry: Sent) -> bool:
        """Send a request; return whether its answer looks whole."""
        body = b'b' * self._rng.choice([0, 10, 5000])
        http = h11.Connection(h11.CLIENT)
        fields = {
            'Host': HOST,
            HEADER_NAMES.request_id: entry.id,
            HEADER_NAMES.api_key: entry.key,
            HEADER_NAMES.timeout_ms: str(int(entry.patience_s * 1000)),
            'Content-Length': str(len(body)),
        }
        request = h11.Request(
            method='POST', target=f'/{entry.kind}/x', headers=list(fields.items())
        )
        data = http.send(request) + (http.send(h11.Data(data=body)) if body else b'')
        self._sock.settimeout(None)
        self._sock.sendall(data + http.send(h11.EndOfMessage()))
        return self._read(http, entry)

    def _read(self, http: h11.Connection, entry: Sent) -> bool:
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                return False
            if event is h11.NEED_DATA:
                http.receive_data(self._sock.recv(65_536))
            elif isinstance(event, h11.Response):
                entry.status = event.status_code
                names = {name for name, _ in event.headers}
                entry.signed = HEADER_NAMES.signature.lower().encode() in names
            elif isinstance(event, h11.Data):
                entry.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if (
                    http.their_state is h11.MUST_CLOSE
                    or http.our_state is h11.MUST_CLOSE
                ):
                    self._close()
                return True
            elif isinstance(event, h11.ConnectionClosed):
                return False

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
