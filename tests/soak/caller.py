"""Callers of the soak, which reuse a connection until the router closes it."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import gevent
import h11
from gevent import socket
from records import KINDS, SentRequest
from upstream import EVENTS, UPLOAD_BYTES

from rosemaryseam.platform.headers import HEADER_NAMES

if TYPE_CHECKING:
    from collections.abc import Callable

    from records import History

PATIENCE_S = {'safe': 1.5, 'unsafe': 1.5, 'stream': 4.0, 'once': 4.0}
PATIENT_SHARE = 0.3  # of requests, whose caller waits as long as for a stream
PROMPT_SHARE = 0.5  # of streams, which state their prompt
PROMPT_TOKENS = 100
UPLOAD_SHARE = 0.15  # of requests, which are still written when an answer begins
MEAN_THINK_TIME_S = 0.06
CANCEL_SHARE = 0.04  # share of requests whose caller closes the connection early
HOST = 'soak.example'


class Caller:
    """Sends requests to one router, one after the other.

    :param name: prefix of the ids of the requests
    :param router: name of the router
    :param addresses: IP address and port of each router, by name
    :param pick_key: returns the API key of the next request
    :param history: collects the requests
    :param rng: random generator that decides what is sent
    """

    def __init__(
        self,
        name: str,
        router: str,
        addresses: dict[str, tuple[str, int]],
        pick_key: Callable[[], str],
        history: History,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._router = router
        self._addresses = addresses
        self._pick_key = pick_key
        self._history = history
        self._rng = rng
        self._sock: Any = None
        self._number = 0
        self.stopping = False

    def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            gevent.sleep(self._rng.expovariate(1 / MEAN_THINK_TIME_S))
            if self._sock is None and not self._connect():
                gevent.sleep(0.1)
                continue
            entry = self._request()
            if entry.kind == 'stream' and entry.outcome == 'cut':
                self._take_up(entry)

    def _take_up(self, first: SentRequest) -> None:
        """Ask any router for the rest of a stream, if its beginning has arrived."""
        if not first.events('id: '):
            return
        home, self._router = self._router, self._rng.choice(sorted(self._addresses))
        gevent.sleep(self._rng.choice([0.0, 0.5]))
        if self._connect():
            self._request(first)
        self._close()
        self._router = home

    def _connect(self) -> bool:
        try:
            address = self._addresses[self._router]
            self._sock = socket.create_connection(address, timeout=0.5)
        except OSError:
            return False
        return True

    def _request(self, resumed: SentRequest | None = None) -> SentRequest:
        kind = self._rng.choice(KINDS) if resumed is None else resumed.kind
        is_patient = self._rng.random() < PATIENT_SHARE
        self._number += 1
        entry = SentRequest(
            id=f'{self._name}-{self._number}',
            kind=kind,
            router=self._router,
            key=self._pick_key(),
            sent_at=time.monotonic(),
            patience_s=PATIENCE_S['stream' if is_patient else kind],
        )
        if resumed is not None:
            entry.resumed_id = resumed.id
            entry.resume_after = int(resumed.events('id: ')[-1])
        cancel_after_s = None
        if self._rng.random() < CANCEL_SHARE:
            cancel_after_s = self._rng.uniform(0.0, 0.3)
        self._history.requests.append(entry)
        try:
            with gevent.Timeout(cancel_after_s or entry.patience_s + 1.0):
                entry.outcome = 'answered' if self._exchange(entry) else 'cut'
        except gevent.Timeout:
            entry.outcome = 'left'
        except OSError:
            entry.outcome = 'cut'
        entry.ended_at = time.monotonic()
        if entry.outcome != 'answered':
            self._close()
        return entry

    def _exchange(self, entry: SentRequest) -> bool:
        """Send a request and return whether its answer is framed completely."""
        body = b'b' * self._rng.choice([0, 10, 5000])
        if random.Random(entry.id).random() < UPLOAD_SHARE:
            body = b'b' * UPLOAD_BYTES
        http = h11.Connection(h11.CLIENT)
        fields = {
            'Host': HOST,
            HEADER_NAMES.request_id: entry.id,
            HEADER_NAMES.api_key: entry.key,
            HEADER_NAMES.timeout_ms: str(int(entry.patience_s * 1000)),
            'Content-Length': str(len(body)),
        }
        if entry.resumed_id:
            fields[HEADER_NAMES.last_event_id] = str(entry.resume_after)
            fields[HEADER_NAMES.resumed_id] = entry.resumed_id
        if entry.kind in ('stream', 'once') and self._rng.random() < PROMPT_SHARE:
            fields[HEADER_NAMES.token_counts] = f'{PROMPT_TOKENS},{EVENTS}'
            fields[HEADER_NAMES.prompt_parts] = f'{entry.id}:{PROMPT_TOKENS}'
        request = h11.Request(
            method='POST', target=f'/{entry.kind}/x', headers=list(fields.items())
        )
        data = http.send(request) + (http.send(h11.Data(data=body)) if body else b'')
        self._sock.settimeout(None)
        self._sock.sendall(data + http.send(h11.EndOfMessage()))
        return self._read(http, entry)

    def _read(self, http: h11.Connection, entry: SentRequest) -> bool:
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
