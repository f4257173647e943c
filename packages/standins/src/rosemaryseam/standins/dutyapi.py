"""Stand-in for the platform's API of duties, which records violations of its rules."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import falcon
import gevent

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock

SILENT_S = 30.0  # for which a silent API holds its calls


class DutyLedger:
    """Accepts calls and records those that break a rule.

    ``mode`` is ``up``, ``lose`` (calls are executed and not answered) or the status
    with which every call is refused.

    :param clock: clock for the rate and the order of holders
    :param calls_per_s: number of calls that are accepted in a second
    :param lease_s: time within which a duty may not return to an earlier holder
    """

    def __init__(self, clock: Clock, calls_per_s: int, lease_s: float) -> None:
        self._clock = clock
        self._calls_per_s = calls_per_s
        self._lease_s = lease_s
        self._recent: deque[float] = deque(maxlen=calls_per_s)
        self._highest: dict[str, tuple[int, str]] = {}  # fence and holder by subject
        self._last_acts: dict[str, dict[str, float]] = {}  # by subject and holder
        self.mode: str | int = 'up'
        self.usage: dict[int, dict[str, int]] = {}
        self.order: list[int] = []  # windows, in the order of their first reports
        self.orders: dict[str, dict[str, Any]] = {}
        self.holders: list[str] = []  # one entry for each change
        self.refused = 0
        self.violations: list[str] = []

    def call(self, path: str, holder: str, fence: int, body: dict[str, Any]) -> int:
        """Execute a call and return its status.

        :param path: ``/usage`` or ``/scale``
        :param holder: the calling host
        :param fence: its fence token
        :param body: content of the call
        """
        now = self._clock.monotonic()
        if isinstance(self.mode, int):
            return self.mode
        if len(self._recent) == self._calls_per_s and now - self._recent[0] < 1.0:
            self.refused += 1
            return HTTPStatus.TOO_MANY_REQUESTS
        self._recent.append(now)
        usage = path == '/usage'
        subject = 'usage' if usage else f'{body["service"]}/{body["zone"]}'
        self._check_fence(subject, holder, fence)
        self._check_order(subject, holder, now)
        if usage:
            self._record_usage(int(body['window']), body['counts'])
        else:
            self.orders[subject] = body
        return HTTPStatus.OK

    def _check_fence(self, subject: str, holder: str, fence: int) -> None:
        highest, by = self._highest.get(subject, (fence, holder))
        if fence < highest:
            self.violations.append(f'{subject}: {holder} sent {fence} after {highest}')
        elif fence == highest and by != holder:
            self.violations.append(f'{subject}: {holder} and {by} sent {fence}')
        self._highest[subject] = max((highest, by), (fence, holder))

    def _check_order(self, subject: str, holder: str, now: float) -> None:
        acts = self._last_acts.setdefault(subject, {})
        own = acts.get(holder)
        if own is not None and now - own < self._lease_s:
            between = [name for name, at in acts.items() if name != holder and at > own]
            if between:
                self.violations.append(f'{subject}: {holder}, {between}, {holder}')
        acts[holder] = now
        if not self.holders or self.holders[-1] != holder:
            self.holders.append(holder)

    def _record_usage(self, window: int, counts: dict[str, int]) -> None:
        known = self.usage.setdefault(window, counts)
        if known != counts:
            self.violations.append(f'window {window}: {counts} after {known}')
        if window not in self.order:
            self.order.append(window)


class DutyApiServer:
    """Serves a ledger over HTTP.

    :param ledger: ledger that executes the calls
    :param holder_header: header with the name of the calling host
    :param fence_header: header with its fence token
    """

    def __init__(
        self, ledger: DutyLedger, holder_header: str, fence_header: str
    ) -> None:
        self.ledger = ledger
        self._headers = (holder_header, fence_header)
        application = falcon.App()
        for path in ('/usage', '/scale'):
            application.add_route(path, self)
        self._server = HttpServer(
            Address('127.0.0.1', 0), application, ServerTimeouts()
        )
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Execute a call."""
        holder, fence = (req.get_header(name, required=True) for name in self._headers)
        status = self.ledger.call(req.path, holder, int(fence), req.get_media())
        if self.ledger.mode == 'lose':
            gevent.sleep(SILENT_S)
        resp.status = status
