"""The dispatcher: answers hosts' asks for the upstreams of its slots."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from rosemaryseam.policy.slots import SlotPlan
from rosemaryseam.router.datagrams import DispatchRequest, Reply
from rosemaryseam.router.placement import NoUpstreamError

if TYPE_CHECKING:
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.datagrams import Datagram
    from rosemaryseam.router.upstreams import Registry
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

KEPT_REPLIES = 2000  # for asks that come again


class Dispatcher:
    """Answers other hosts' asks from this host's tracker.

    :param tracker: what is known of the upstreams
    :param registry: the usable upstreams
    :param metrics: the process's counters
    """

    def __init__(
        self, tracker: UpstreamTracker, registry: Registry, metrics: Metrics
    ) -> None:
        self._tracker = tracker
        self._registry = registry
        self._metrics = metrics
        self._plans: dict[str, tuple[tuple[str, ...], SlotPlan]] = {}
        self._replies: OrderedDict[tuple[str, int], Reply] = OrderedDict()

    def plan(self, service: str) -> SlotPlan:
        """Return the division of a service's upstreams that is in force.

        :param service: its name
        """
        names = tuple(upstream.id for upstream in self._registry.usable(service))
        known = self._plans.get(service)
        if known is None or known[0] != names:
            known = (names, SlotPlan(service, names))
            self._plans[service] = known
        return known[1]

    def plans(self) -> list[SlotPlan]:
        """Return the divisions in force of all services that were asked for."""
        return [self.plan(service) for service in self._plans]

    def answer(self, host: str, ask: DispatchRequest) -> Reply:
        """Place a request, or repeat the answer to an ask that came again.

        :param host: that asks
        :param ask: the request
        """
        key = (host, ask.query.number)
        reply = self._replies.get(key)
        if reply is None:
            reply = self._decide(host, ask)
            if reply.no_upstream_known:
                return reply
            self._replies[key] = reply
            if len(self._replies) > KEPT_REPLIES:
                self._replies.popitem(last=False)
        return reply

    def _decide(self, host: str, ask: DispatchRequest) -> Reply:
        query = ask.query
        if not self._registry.usable(query.service):
            reason = 'no upstream is known here'
            return Reply(query.number, None, reason, 0.0, 0.0, no_upstream_known=True)
        names = self.plan(query.service).members(ask.slot)
        pressure = self._tracker.pressure(names)
        self._metrics.count('dispatched', service=query.service)
        try:
            placement = self._tracker.place(host, query, names)
        except NoUpstreamError as exc:
            return Reply(query.number, None, str(exc), exc.retry_after_s, pressure)
        return Reply(query.number, placement, '', 0.0, pressure)

    def handle_datagram(self, datagram: Datagram) -> list[Reply]:
        """Take over a host's news and return the answers to its asks.

        :param datagram: the news
        """
        host = datagram.host
        for placed in datagram.placed:
            self._tracker.adopt_prompt(placed)
        for held in datagram.held:
            self._tracker.adopt_request(host, held)
        replies = [self.answer(host, ask) for ask in datagram.dispatch_requests]
        for number in datagram.started:
            self._tracker.record_first_event(host, number)
        for entry in datagram.ended:
            self._tracker.record_end(
                host, entry.number, entry.outcome, entry.duration_s
            )
        if datagram.sync:
            self._tracker.retain_requests(host, set(datagram.active))
        return replies
