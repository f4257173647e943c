"""The dispatcher places requests of all hosts on the upstreams of its slots."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from rosemaryseam.common.fairness import apply_each
from rosemaryseam.policy.slots import SlotPlan
from rosemaryseam.router.datagrams import DispatchRequest, Reply
from rosemaryseam.router.placement import NoUpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.datagrams import Datagram
    from rosemaryseam.router.upstreams import Registry
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

MAX_KEPT_REPLIES = 2000  # for requests that are resent


class Dispatcher:
    """Places requests of other hosts with this host's upstream tracker.

    :param tracker: upstream tracker of this host
    :param registry: registry of the usable upstreams
    :param metrics: counters of the process
    """

    def __init__(
        self, tracker: UpstreamTracker, registry: Registry, metrics: Metrics
    ) -> None:
        self._tracker = tracker
        self._registry = registry
        self._metrics = metrics
        self._plans: dict[str, tuple[tuple[str, ...], SlotPlan]] = {}
        self._replies: OrderedDict[tuple[str, int], Reply] = OrderedDict()
        # The share of request limits that this host may use; set by its placer.
        self.limit_share: Callable[[SlotPlan, int], float] = lambda *_: 1.0

    def plan(self, service: str) -> SlotPlan:
        """Return the current division of a service's upstreams into slots.

        :param service: name of the service
        """
        names = tuple(upstream.id for upstream in self._registry.usable(service))
        known = self._plans.get(service)
        if known is None or known[0] != names:
            known = (names, SlotPlan(service, names))
            self._plans[service] = known
        return known[1]

    def plans(self) -> list[SlotPlan]:
        """Return the current divisions of all services requested so far."""
        return [self.plan(service) for service in self._plans]

    def reply(self, host: str, request: DispatchRequest) -> Reply:
        """Place a request, or repeat the reply if the request was resent.

        :param host: address of the host that sent the request
        :param request: request and its slot
        """
        key = (host, request.query.number)
        reply = self._replies.get(key)
        if reply is None:
            reply = self._place(host, request)
            if reply.no_upstream_known:
                return reply
            self._replies[key] = reply
            if len(self._replies) > MAX_KEPT_REPLIES:
                self._replies.popitem(last=False)
        return reply

    def _place(self, host: str, request: DispatchRequest) -> Reply:
        query = request.query
        if not self._registry.usable(query.service):
            reason = 'no upstream is known here'
            return Reply(query.number, None, reason, 0.0, 0.0, no_upstream_known=True)
        plan = self.plan(query.service)
        names = plan.members(request.slot)
        pressure = self._tracker.pressure(names)
        self._metrics.count('dispatched', service=query.service)
        try:
            placement = self._tracker.place(
                host, query, names, lambda: self.limit_share(plan, request.slot)
            )
        except NoUpstreamError as exc:
            return Reply(query.number, None, str(exc), exc.retry_after_s, pressure)
        return Reply(query.number, placement, '', 0.0, pressure)

    def handle_datagram(self, datagram: Datagram) -> list[Reply]:
        """Apply the reports in a datagram and return replies to its requests.

        :param datagram: datagram of another host
        """
        host, tracker = datagram.host, self._tracker
        replies: list[Reply] = []
        for name, entries, apply in (
            ('placed', datagram.placed, tracker.adopt_prompt),
            (
                'in_flight',
                datagram.in_flight,
                lambda report: tracker.adopt_request(host, report),
            ),
            (
                'limits',
                datagram.limits,
                lambda report: tracker.adopt_limit(report, host),
            ),
            (
                'dispatch_requests',
                datagram.dispatch_requests,
                lambda request: replies.append(self.reply(host, request)),
            ),
            (
                'started',
                datagram.started,
                lambda number: tracker.record_first_event(host, number),
            ),
            (
                'ended',
                datagram.ended,
                lambda entry: tracker.record_end(
                    host, entry.number, entry.outcome, entry.duration_s
                ),
            ),
        ):
            apply_each(name, entries, apply, self._metrics)
        if datagram.sync:
            self._tracker.retain_requests(host, set(datagram.active))
        return replies
