"""Selection of the running calls to preempt for requests of higher tiers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rosemaryseam.policy.preemption import (
    PreemptibleCall,
    choose_victim,
    preemptible_calls,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rosemaryseam.node.assignment import PartitionConfig
    from rosemaryseam.node.holdings import Holding, HoldingTracker
    from rosemaryseam.policy.requests import QueuedRequest, UpstreamCapacity

PREEMPT_RESEND_S = 1.0  # time after which an unanswered preemption is resent
# Share of its target that a request waits before a call is preempted for it.
PREEMPT_TARGET_SHARE = 0.25


class Preemptor:
    """Chooses calls to preempt; the caller marks them and notifies their hosts.

    :param holdings: grants in use of the partition
    """

    def __init__(self, holdings: HoldingTracker) -> None:
        self._holdings = holdings

    def preemptible_calls(
        self, config: PartitionConfig, now: float
    ) -> list[PreemptibleCall]:
        """Return the calls that may be preempted.

        :param config: upstreams and request classes of the partition
        :param now: seconds on the monotonic clock
        """
        running = [
            PreemptibleCall(
                key,
                holding.request_class,
                config.classes[holding.request_class].tier,
                holding.upstream,
                holding.since,
            )
            for key, holding in self._holdings
            if holding.request_class in config.classes
            and config.classes[holding.request_class].preemptible
            and not _is_preempting(holding, now)
        ]
        floors = {name: entry.floor for name, entry in config.classes.items()}
        slots = sum(entry.limits.concurrent for entry in config.upstreams)
        return preemptible_calls(running, floors, slots)

    def choose_victims(
        self,
        waiting: Iterable[QueuedRequest],
        upstreams: Iterable[UpstreamCapacity],
        config: PartitionConfig,
        now: float,
    ) -> Iterator[str]:
        """Yield the keys of calls to preempt, one for each late request.

        The caller must mark each call as preempted before it takes the next key.

        :param waiting: requests that wait for an upstream
        :param upstreams: load and limits of the partition's upstreams
        :param config: upstreams and request classes of the partition
        :param now: seconds on the monotonic clock
        """
        available = [entry for entry in upstreams if not entry.leaving]
        pending = Counter(
            holding.upstream
            for _, holding in self._holdings
            if _is_preempting(holding, now)
        )
        for request in sorted(waiting, key=lambda entry: (entry.tier, entry.due)):
            serving = [entry for entry in available if entry.serves(request)]
            freeing = next((e.name for e in serving if pending[e.name] > 0), None)
            if freeing is not None:
                pending[freeing] -= 1
                continue
            if not _is_late(request, now) or any(entry.free for entry in serving):
                continue
            names = frozenset(entry.name for entry in serving)
            victim = choose_victim(request, self.preemptible_calls(config, now), names)
            if victim is not None:
                yield victim.key


def _is_late(request: QueuedRequest, now: float) -> bool:
    return now >= request.arrived + PREEMPT_TARGET_SHARE * (
        request.due - request.arrived
    )


def _is_preempting(holding: Holding, now: float) -> bool:
    since = holding.preempted_at
    return since is not None and now - since < PREEMPT_RESEND_S
