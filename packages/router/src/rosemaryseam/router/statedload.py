"""Reports hosts' evidence of upstreams' load and speed to the dispatchers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import (
    readable,
    require_count,
    require_list,
    require_number,
    require_object,
    require_text,
)
from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.policy.enginespeed import EnginePerformance
from rosemaryseam.router.learnedcapacity import LearnedReport
from rosemaryseam.router.requests import StatedLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.upstreams import Upstream
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

MESSAGE_KIND = 'load'
REPORT_INTERVAL_S = 0.5  # between two reports of one upstream by one host
TELL_INTERVAL_S = 2.0  # between two messages of what was learned to one host
MAX_EVIDENCE_AGE_S = 5.0  # older evidence was delayed and tells nothing
MAX_ENTRIES = 50  # upstreams per message, which must fit in a datagram

Incarnation = tuple[str, int]  # id and start of an upstream


class LoadReport(NamedTuple):
    """What a host saw of an upstream's incarnation since its last report.

    ``age_s`` is the age of ``load``, which is ``None`` if the upstream stated none.
    ``event_gap_s`` is the mean time between two events of a stream, ``events`` the
    number of events in this mean, ``longest_gap_s`` the longest time between two.
    """

    upstream: str
    born: int
    age_s: float
    load: StatedLoad | None
    event_gap_s: float
    events: int
    longest_gap_s: float = 0.0


class _Evidence:
    """Collects what this host saw of one upstream."""

    def __init__(self) -> None:
        self.load: StatedLoad | None = None
        self.stated_at = 0.0
        self.gaps_s = 0.0
        self.events = 0
        self.longest_gap_s = 0.0
        self.reported_at = -math.inf

    def has_news(self) -> bool:
        """Return whether there is something to report."""
        return self.load is not None or self.events > 0


class LoadExchange:
    """Reports evidence to dispatchers, and tells hosts what dispatchers learned.

    Hosts remember what they are told and tell it to dispatchers that take over.

    :param host: address of this host
    :param clock: clock of the process
    :param tracker: upstream tracker of this host
    :param find_dispatcher: returns the address of the dispatcher of an upstream
    """

    def __init__(
        self,
        host: str,
        clock: Clock,
        tracker: UpstreamTracker,
        find_dispatcher: Callable[[str], str | None],
    ) -> None:
        self._host = host
        self._clock = clock
        self._tracker = tracker
        self._find_dispatcher = find_dispatcher
        self._link: HostLink | None = None
        self._evidence: dict[Incarnation, _Evidence] = {}
        self._told_at: dict[str, float] = {}
        self.metrics = Metrics()  # set to those of the process by the placer

    def connect(self, link: HostLink) -> None:
        """Set the link over which other hosts are reached.

        :param link: link to the other hosts
        """
        self._link = link

    # Evidence of this host.

    def record_load(self, upstream: Upstream, load: StatedLoad) -> None:
        """Record the load that an answer states, and report it if it is time.

        :param upstream: upstream that answered
        :param load: stated load
        """
        evidence = self._get_evidence(upstream)
        evidence.load, evidence.stated_at = load, self._clock.monotonic()
        self._report_if_due(upstream.incarnation, evidence)

    def record_event(self, upstream: Upstream, gap_s: float) -> None:
        """Record the time between two events of a stream.

        :param upstream: upstream of the stream
        :param gap_s: time since the event before
        """
        evidence = self._get_evidence(upstream)
        evidence.gaps_s += gap_s
        evidence.events += 1
        evidence.longest_gap_s = max(evidence.longest_gap_s, gap_s)
        self._report_if_due(upstream.incarnation, evidence)

    def step(self) -> None:
        """Report the evidence that was held back."""
        for incarnation, evidence in self._evidence.items():
            if evidence.has_news():
                self._report_if_due(incarnation, evidence)

    def retain(self, upstreams: Iterable[Incarnation]) -> None:
        """Drop the evidence of all other incarnations.

        :param upstreams: incarnations still in use
        """
        kept = set(upstreams)
        for incarnation in [key for key in self._evidence if key not in kept]:
            del self._evidence[incarnation]

    def _get_evidence(self, upstream: Upstream) -> _Evidence:
        evidence = self._evidence.get(upstream.incarnation)
        if evidence is None:
            evidence = self._evidence[upstream.incarnation] = _Evidence()
        return evidence

    def _report_if_due(self, incarnation: Incarnation, evidence: _Evidence) -> None:
        now = self._clock.monotonic()
        if now - evidence.reported_at < REPORT_INTERVAL_S:
            return
        evidence.reported_at = now
        report = LoadReport(
            *incarnation,
            now - evidence.stated_at if evidence.load is not None else 0.0,
            evidence.load,
            evidence.gaps_s / evidence.events if evidence.events else 0.0,
            evidence.events,
            evidence.longest_gap_s,
        )
        evidence.load, evidence.gaps_s, evidence.events = None, 0.0, 0
        evidence.longest_gap_s = 0.0
        dispatcher = self._find_dispatcher(report.upstream)
        if not dispatcher or dispatcher == self._host or self._link is None:
            self._tracker.apply_load(report)
        else:
            self.metrics.count('load_reports_sent')
            body = {'seen': [_encode_report(report)]}
            self._link.send_message(dispatcher, MESSAGE_KIND, body)

    # Learned figures.

    def tell(self, host: str, names: Collection[str]) -> None:
        """Tell another host what is known of some upstreams.

        :param host: address of the other host
        :param names: ids of the upstreams
        """
        if self._link is None:
            return
        reports = self._tracker.learned.reports(names)
        for start in range(0, len(reports), MAX_ENTRIES):
            chunk = reports[start : start + MAX_ENTRIES]
            body = {'learned': [_encode_learned(report) for report in chunk]}
            self._link.send_message(host, MESSAGE_KIND, body)

    def handle(self, host: str, body: Any) -> list[UnreadableError]:
        """Apply a message of another host; return the errors of unreadable entries.

        :param host: address of the other host
        :param body: content of the message
        """
        body = require_object(body)
        seen: list[Incarnation] = []
        errors: list[UnreadableError] = []
        reports = require_list(body.get('seen', []))
        for report in readable(reports, _decode_report, errors.append):
            self.metrics.count('load_reports_received')
            seen.append((report.upstream, report.born))
            self._tracker.apply_load(report)
        figures = require_list(body.get('learned', []))
        for learned in readable(figures, _decode_learned, errors.append):
            self.metrics.count('learned_speeds_received')
            self._tracker.adopt_learned(learned)
        now = self._clock.monotonic()
        if seen and now - self._told_at.get(host, -math.inf) >= TELL_INTERVAL_S:
            self._told_at[host] = now
            self.tell(host, self._tracker.learned.names_beside(seen[0]))
        return errors


def _encode_report(report: LoadReport) -> list[Any]:
    load = None if report.load is None else list(report.load)
    return [
        report.upstream,
        report.born,
        round(report.age_s, 3),
        load,
        round(report.event_gap_s, 6),
        report.events,
        round(report.longest_gap_s, 4),
    ]


def _decode_report(entry: Any) -> LoadReport:
    name, born, age_s, load, gap_s, events, *rest = entry
    return LoadReport(
        require_text(name),
        require_count(born),
        require_number(age_s, most=MAX_EVIDENCE_AGE_S),
        None if load is None else _decode_load(load),
        require_number(gap_s),
        require_count(events),
        require_number(rest[0]) if rest else 0.0,
    )


def _decode_load(entry: Any) -> StatedLoad:
    running, waiting, slots, percent, *_ = (*entry, None)
    return StatedLoad(
        require_count(running),
        require_count(waiting),
        require_count(slots),
        None if percent is None else require_number(percent),
    )


def _encode_learned(report: LearnedReport) -> list[Any]:
    figures = report.figures
    return [
        report.upstream,
        report.born,
        round(report.age_s, 3),
        None if figures is None else [*figures[:3]],
        report.work_s,
    ]


def _decode_learned(entry: Any) -> LearnedReport:
    name, born, age_s, figures, work_s = entry[:5]
    return LearnedReport(
        require_text(name),
        require_count(born),
        require_number(age_s),
        None
        if figures is None
        else EnginePerformance(*(_require_positive(value) for value in figures[:3])),
        None if work_s is None else _require_positive(work_s),
    )


def _require_positive(value: Any) -> float:
    if not require_number(value):
        raise UnreadableError('a learned figure is 0')
    return value
