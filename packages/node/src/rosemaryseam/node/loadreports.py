"""Load reports of model engines, in the Prometheus text format."""

from __future__ import annotations

import abc
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

RUNNING = 'vllm:num_requests_running'
WAITING = 'vllm:num_requests_waiting'


class LoadReport(NamedTuple):
    """What an engine says of itself, some time ago."""

    running: int
    waiting: int


class LoadReportReader(abc.ABC):
    """What the project uses of the engines' load reports."""

    @abc.abstractmethod
    def read(self, address: Address) -> LoadReport:
        """Return an engine's report.

        :param address: of the engine
        :raises PlatformError: the report cannot be read
        """


class HttpLoadReportReader(LoadReportReader):
    """Reads ``/metrics`` over HTTP.

    :param timeout_s: deadline of a call
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def read(self, address: Address) -> LoadReport:
        """Return an engine's report."""
        try:
            answer = call(address, 'GET', '/metrics', timeout_s=self._timeout_s)
            if answer.status != HTTPStatus.OK:
                raise PlatformError(f'{address} answered {answer.status}')
            values = _parse(answer.body.decode())
        except (OSError, ValueError) as exc:
            raise PlatformError(f'load report of {address}: {exc}') from exc
        return LoadReport(int(values.get(RUNNING, 0)), int(values.get(WAITING, 0)))


def open_load_report_reader(timeout_s: float) -> LoadReportReader:
    """Return a reader of load reports.

    :param timeout_s: deadline of a call
    """
    return HttpLoadReportReader(timeout_s)


def _parse(text: str) -> dict[str, float]:
    return {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
