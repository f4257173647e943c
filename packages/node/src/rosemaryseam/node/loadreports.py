"""Load reports of model engines, in the Prometheus text format."""

from __future__ import annotations

import abc
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from rosemaryseam.common.decoding import decoding, require_number
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

RUNNING_METRIC = 'vllm:num_requests_running'
WAITING_METRIC = 'vllm:num_requests_waiting'


class LoadReport(NamedTuple):
    """Numbers of running and waiting requests that an engine reports."""

    running: int
    waiting: int


class LoadReportReader(abc.ABC):
    """Interface for reading the load reports of engines."""

    @abc.abstractmethod
    def read(self, address: Address) -> LoadReport:
        """Return the load report of an engine.

        :param address: address of the engine
        :raises PlatformError: the report cannot be read
        """


class HttpLoadReportReader(LoadReportReader):
    """Reads load reports from ``/metrics`` of engines over HTTP.

    :param timeout_s: timeout of an HTTP request in seconds
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def read(self, address: Address) -> LoadReport:
        """Return the load report of an engine."""
        try:
            answer = call(address, 'GET', '/metrics', timeout_s=self._timeout_s)
            if answer.status != HTTPStatus.OK:
                raise PlatformError(
                    f'engine at {address} answered with status {answer.status}'
                )
            with decoding('load report'):
                values = _parse_samples(answer.body.decode())
                return LoadReport(
                    int(require_number(values.get(RUNNING_METRIC, 0))),
                    int(require_number(values.get(WAITING_METRIC, 0))),
                )
        except (OSError, UnreadableError) as exc:
            raise PlatformError(
                f'cannot read the load report of {address}: {exc}'
            ) from exc


def open_load_report_reader(timeout_s: float) -> LoadReportReader:
    """Create a reader of load reports.

    :param timeout_s: timeout of an HTTP request in seconds
    """
    return HttpLoadReportReader(timeout_s)


def _parse_samples(text: str) -> dict[str, float]:
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
