"""Evidence of requests that crash upstreams, collected here and from other hosts."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.crashevidence import Crash, Evidence, Suspect
from rosemaryseam.policy.quarantine import MAX_QUARANTINES, PromptQuarantine, Quarantine
from rosemaryseam.router.crashreports import CrashReport, QuarantinedPart, SuspectPart
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.queries import suspect_digests

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.queries import InFlightReport, Query
    from rosemaryseam.router.upstreams import Upstream

REPORT_DELAY_S = 0.05  # within which the requests that a crash broke off are reported
MAX_REPORTED_PARTS = 256  # per crash
MAX_LOGGED_SUSPECTS = 20  # per crash

RequestId = tuple[str, int]  # address of the host and its number of the request


class _Sent(NamedTuple):
    """What a crash by a request may be due to.

    ``digests`` holds the parts of its prompt but the last, and its fingerprint.
    """

    digests: tuple[int, ...]
    fingerprint: int


class _Pending(Crash):
    """A crash that the other hosts have not been told of."""

    collected = False  # whether other hosts reported some of it


class CrashLedger:
    """Records which requests upstreams answered and which they crashed with.

    Crashes are recorded by the hosts that sent the requests, which tell all others, and
    answers also by the dispatcher.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._quarantine = PromptQuarantine(_log_decision)
        self._sent: dict[RequestId, _Sent] = {}
        self._pending: OrderedDict[tuple[str, int], _Pending] = OrderedDict()
        self._has_pending = Event()
        self._released: OrderedDict[int, None] = OrderedDict()  # disproved here

    def check(self, query: Query) -> None:
        """Check that neither a request nor a part of its prompt is quarantined.

        :param query: request to place
        :raises NoUpstreamError: if one is; no upstream should get the request
        """
        digests = suspect_digests(query)
        now = self._clock.monotonic()
        found = self._quarantine.find(digests, now)
        if found is None:
            return
        if found.digest == query.fingerprint:
            reason = 'the request crashes upstreams'
        else:
            place = f'part {digests.index(found.digest) + 1} of {len(query.parts)}'
            reason = f'{place} of the prompt crashes engines'
        raise NoUpstreamError(reason, found.until - now)

    # Requests that this host sends to upstreams.

    def record_begin(self, query: Query) -> None:
        """Record that the answer to a request of this host has begun.

        :param query: the request
        """
        self._record_begin(_sent(query))

    def record_outcome(self, upstream: Upstream, query: Query, outcome: str) -> None:
        """Record the outcome of a request of this host.

        :param upstream: upstream that had the request
        :param query: the request
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        """
        sent = _sent(query)
        if outcome == 'done':
            self._record_answer(self._informative(sent), self._clock.monotonic())
        elif outcome == 'crashed' and sent.digests:
            self._record_crash(upstream.incarnation, sent)

    # Requests that this host dispatches.

    def record_placement(self, host: str, query: Query) -> None:
        """Record a request that this host placed.

        :param host: address of the host that sends the request
        :param query: request that was placed
        """
        sent = _sent(query)
        if sent.digests:
            self._sent[host, query.number] = sent

    def adopt_placement(self, host: str, report: InFlightReport) -> None:
        """Record a request that another dispatcher placed.

        :param host: address of the host that sends the request
        :param report: report of the request
        """
        if report.digests:
            self._sent[host, report.number] = _Sent(report.digests, report.fingerprint)

    def record_first_event(self, host: str, number: int) -> None:
        """Record that the answer to a request has begun.

        :param host: address of the host that sends the request
        :param number: number of the request on that host
        """
        sent = self._sent.get((host, number))
        if sent is not None:
            self._record_begin(sent)

    def record_end(self, host: str, number: int, outcome: str) -> None:
        """Record that a request has ended.

        :param host: address of the host that sent the request
        :param number: number of the request on that host
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        """
        sent = self._sent.pop((host, number), None)
        if sent is not None and outcome == 'done':
            self._record_answer(self._informative(sent), self._clock.monotonic())

    def drop_request(self, host: str, number: int) -> None:
        """Forget a request whose outcome will not be known.

        :param host: address of the host that sent the request
        :param number: number of the request on that host
        """
        self._sent.pop((host, number), None)

    # Exchange with the other hosts.

    def wait_for_crash(self) -> None:
        """Wait until there are crashes that the other hosts are to be told of."""
        self._has_pending.wait()

    def take_reports(self) -> list[CrashReport]:
        """Return the crashes that the other hosts are to be told of now."""
        now = self._clock.monotonic()
        due = [
            engine
            for engine, pending in self._pending.items()
            if now - pending.at >= REPORT_DELAY_S
        ]
        reports = [
            self._report(engine, self._pending.pop(engine), now) for engine in due
        ]
        if not self._pending:
            self._has_pending.clear()
        return reports

    def apply_report(self, host: str, report: CrashReport) -> None:
        """Record a crash that another host reported.

        :param host: address of that host
        :param report: report of the crash
        """
        now = self._clock.monotonic()
        for part in report.parts:
            if part.answered_s < math.inf:
                self._record_answer((part.digest,), now - part.answered_s)
            if part.begun_s < math.inf:
                self._quarantine.record_begin((part.digest,), now - part.begun_s)
        suspects = {
            part.digest: Suspect(part.position, part.requests, part.is_request)
            for part in report.parts
        }
        engine = (report.upstream, report.born)
        _log_crash(engine, suspects, report.age_s, host)
        at = now - report.age_s
        self._quarantine.record_crash(engine, suspects, at)
        if report.to_collect:
            self._add_pending(engine, suspects, at).collected = True

    def quarantined(self) -> tuple[QuarantinedPart, ...]:
        """Return the parts that are quarantined now."""
        now = self._clock.monotonic()
        return tuple(
            QuarantinedPart(entry.digest, entry.until - now, entry.duration_s)
            for entry in self._quarantine.in_force(now)
        )

    def adopt(self, host: str, parts: Iterable[QuarantinedPart]) -> None:
        """Quarantine parts that another host has quarantined.

        :param host: address of that host
        :param parts: quarantined parts
        """
        now = self._clock.monotonic()
        for part in parts:
            entry = Quarantine(part.digest, now + part.left_s, part.duration_s)
            if self._quarantine.adopt(entry, now):
                _log_quarantine(entry, host)

    # Quarantines that the store holds.

    def adopt_stored(self, quarantine: Quarantine) -> None:
        """Apply a quarantine that the store holds.

        :param quarantine: its ``until`` is a time on this host's clock
        """
        if self._quarantine.adopt(quarantine, self._clock.monotonic()):
            _log_quarantine(quarantine, 'store')

    def is_released(self, digest: int) -> bool:
        """Return whether an answer at this host has disproved a quarantine.

        :param digest: digest of the part
        """
        if self._quarantine.is_in_force(digest, self._clock.monotonic()):
            self._released.pop(digest, None)
        return digest in self._released

    def release(self, digest: int) -> None:
        """End a quarantine that another host knows to be disproved.

        :param digest: digest of the part
        """
        if self._quarantine.release(digest, self._clock.monotonic()):
            log_event('prompt_part_released', part=f'{digest:016x}')

    def _informative(self, sent: _Sent) -> list[int]:
        """Return the digests of which an answer tells something.

        A fingerprint that no crash is charged with needs no record.
        """
        return [
            digest
            for digest in sent.digests
            if digest != sent.fingerprint or self._quarantine.is_suspect(digest)
        ]

    def _record_answer(self, digests: Sequence[int], at: float) -> None:
        for digest in self._quarantine.record_answer(digests, at):
            self._released[digest] = None
            if len(self._released) > MAX_QUARANTINES:
                self._released.popitem(last=False)
            log_event('prompt_part_released', part=f'{digest:016x}')

    def _record_begin(self, sent: _Sent) -> None:
        self._quarantine.record_begin(self._informative(sent), self._clock.monotonic())

    def _record_crash(self, engine: tuple[str, int], sent: _Sent) -> None:
        now = self._clock.monotonic()
        suspects = {
            digest: Suspect(position, 1, digest == sent.fingerprint)
            for position, digest in enumerate(sent.digests)
        }
        self._quarantine.record_crash(engine, suspects, now)
        self._add_pending(engine, suspects, now)

    def _add_pending(
        self, engine: tuple[str, int], suspects: Mapping[int, Suspect], at: float
    ) -> _Pending:
        pending = self._pending.setdefault(engine, _Pending(at))
        pending.add(suspects)
        self._has_pending.set()
        return pending

    def _report(
        self, engine: tuple[str, int], pending: _Pending, now: float
    ) -> CrashReport:
        parts = [
            SuspectPart(
                digest,
                suspect.position,
                suspect.requests,
                now - self._quarantine.last_answered_at(digest),
                now - self._quarantine.last_begun_at(digest),
                suspect.is_request,
            )
            for digest, suspect in pending.suspects.items()
        ]
        _log_crash(engine, pending.suspects, now - pending.at, None)
        return CrashReport(
            *engine,
            now - pending.at,
            tuple(parts[:MAX_REPORTED_PARTS]),
            collected=pending.collected,
        )


def _sent(query: Query) -> _Sent:
    return _Sent(suspect_digests(query), query.fingerprint)


def _log_crash(
    engine: tuple[str, int],
    suspects: Mapping[int, Suspect],
    age_s: float,
    source: str | None,
) -> None:
    """Log a crash and what it may be due to, the parts with most requests first.

    The source is the host that told of it, if another one did.
    """
    order = sorted(suspects, key=lambda digest: -suspects[digest].requests)
    log_event(
        'crash_recorded',
        upstream=engine[0],
        born=engine[1],
        age_ms=int(age_s * 1000),
        source=source,
        suspects={
            f'{digest:016x}': suspects[digest].requests
            for digest in order[:MAX_LOGGED_SUSPECTS]
        },
    )


def _log_decision(quarantine: Quarantine, evidence: Evidence) -> None:
    _log_quarantine(quarantine, None, **evidence._asdict())


def _log_quarantine(
    quarantine: Quarantine, source: str | None, **evidence: object
) -> None:
    """Log a quarantine; the source is the host that told of it, if another one did."""
    log_event(
        'prompt_part_quarantined',
        part=f'{quarantine.digest:016x}',
        seconds=quarantine.duration_s,
        source=source,
        **evidence,
    )
