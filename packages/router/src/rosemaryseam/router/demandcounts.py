"""Counts the demand for services at each host, and sums it at the holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import (
    decoding,
    require_count,
    require_number,
    require_text,
)
from rosemaryseam.policy.demandtrend import RankDemand

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.admission import AdmittedRequest

KIND = 'demand'  # of the messages between hosts
HOST_TIMEOUT_S = 3.0  # age up to which the counts of a host are used
MIN_INTERVAL_S = 0.1  # covered by counts, so that rates stay meaningful
UNCACHED_WEIGHT = 0.02  # of one prompt in the mean share that is not cached
ROUTE_RANKS = 3  # urgency levels per workspace rank
MAX_URGENCY = 9
MAX_RATE = 1e9  # per second; larger numbers in a message are invalid


class DemandCounts:
    """Counts what arrives at this host for services whose upstreams are ordered.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.monotonic()
        self._counts: dict[str, dict[int, list[float]]] = {}
        self._uncached: dict[str, float] = {}  # mean share of prompts by service

    def record_placed(
        self, admitted: AdmittedRequest, inputs: Mapping[str, object]
    ) -> None:
        """Count a request that was placed for the first time.

        :param admitted: request that was placed
        :param inputs: values behind the placement, among them the prefill tokens
        """
        service = admitted.service
        if service.scaling is None:
            return
        prompt_tokens, output_tokens = _tokens(admitted)
        prefill = inputs.get('prefill_tokens')
        if not isinstance(prefill, int | float):
            prefill = prompt_tokens
        if prompt_tokens > 0:
            mean = self._uncached.get(service.name, 1.0)
            share = min(1.0, prefill / prompt_tokens)
            self._uncached[service.name] = mean + UNCACHED_WEIGHT * (share - mean)
        self._add(admitted, float(prefill), output_tokens, refused=0)

    def record_refused(self, admitted: AdmittedRequest) -> None:
        """Count a request that no upstream had capacity for.

        :param admitted: request that was refused
        """
        service = admitted.service
        if service.scaling is None:
            return
        prompt_tokens, output_tokens = _tokens(admitted)
        prefill = prompt_tokens * self._uncached.get(service.name, 1.0)
        self._add(admitted, prefill, output_tokens, refused=1)

    def take(self) -> dict[str, list[list[float]]]:
        """Return the rates since the last call, and begin anew.

        The value is a list of an urgency rank and the fields of
        :class:`RankDemand` for each service.
        """
        now = self._clock.monotonic()
        interval_s = max(MIN_INTERVAL_S, now - self._began_at)
        counts, self._counts, self._began_at = self._counts, {}, now
        return {
            service: [
                [rank, *(round(count / interval_s, 2) for count in values)]
                for rank, values in sorted(ranks.items())
            ]
            for service, ranks in counts.items()
        }

    def _add(
        self, admitted: AdmittedRequest, prefill: float, output: float, *, refused: int
    ) -> None:
        ranks = self._counts.setdefault(admitted.service.name, {})
        counts = ranks.setdefault(_urgency(admitted), [0.0] * 4)
        for index, amount in enumerate((1.0, prefill, output, float(refused))):
            counts[index] += amount


class _HostDemand(NamedTuple):
    """The latest message of a host."""

    received_at: float
    incarnation: int
    number: int
    services: dict[str, dict[int, RankDemand]]


class DemandTable:
    """Sums the demand that the hosts report.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._hosts: dict[str, _HostDemand] = {}

    def receive(self, host: str, body: Any) -> None:
        """Record a message of a host; one that was overtaken is ignored.

        :param host: address of the host
        :param body: incarnation, number and rates
        :raises UnreadableError: the message is not valid
        """
        with decoding('demand'):
            entry = _HostDemand(
                self._clock.monotonic(),
                require_count(body['incarnation']),
                require_count(body['number']),
                {
                    require_text(service): dict(
                        _decode_rank(fields) for fields in ranks
                    )
                    for service, ranks in body['services'].items()
                },
            )
        known = self._hosts.get(host)
        if (
            known is not None
            and known.incarnation == entry.incarnation
            and known.number >= entry.number
        ):
            return
        self._hosts[host] = entry

    def demand(self, service: str) -> dict[int, RankDemand]:
        """Return the demand for a service by urgency rank.

        :param service: name of the service
        """
        total: dict[int, RankDemand] = {}
        for entry in self._current():
            for rank, demand in entry.services.get(service, {}).items():
                known = total.get(rank)
                total[rank] = demand if known is None else _add(known, demand)
        return total

    def host_count(self) -> int:
        """Return the number of hosts whose messages arrive."""
        return len(self._current())

    def _current(self) -> list[_HostDemand]:
        oldest = self._clock.monotonic() - HOST_TIMEOUT_S
        for host in [
            host for host, entry in self._hosts.items() if entry.received_at < oldest
        ]:
            del self._hosts[host]
        return list(self._hosts.values())


def _decode_rank(fields: list[float]) -> tuple[int, RankDemand]:
    rank, *values = fields
    demand = RankDemand(*(require_number(value, most=MAX_RATE) for value in values))
    return require_count(rank), demand


def _add(first: RankDemand, second: RankDemand) -> RankDemand:
    return RankDemand(*(a + b for a, b in zip(first, second, strict=True)))


def _tokens(admitted: AdmittedRequest) -> tuple[float, float]:
    """Return the prompt tokens and the expected output tokens of a request."""
    prompt = admitted.request.prompt
    if prompt is None:
        return 0.0, 0.0
    return float(prompt.prompt_tokens), float(prompt.expected_output_tokens)


def _urgency(admitted: AdmittedRequest) -> int:
    """Return the urgency rank: by workspace rank, then by route rank."""
    route = min(admitted.route.rank, ROUTE_RANKS - 1)
    rank = (admitted.workspace_rank or 0) * ROUTE_RANKS + route
    return max(0, min(MAX_URGENCY, rank))
