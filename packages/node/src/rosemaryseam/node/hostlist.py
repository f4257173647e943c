"""The platform's host list, over Consul's health interface."""

from __future__ import annotations

import abc
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

MAINTENANCE = '_service_maintenance:'


class ListedState(NamedTuple):
    """What the list says of a host or an upstream."""

    leaving: bool
    gone: bool


class HostList(abc.ABC):
    """What the project uses of the platform's host list."""

    @abc.abstractmethod
    def read(self) -> dict[str, ListedState]:
        """Return the states by name.

        :raises PlatformError: the list cannot be read
        """


class HttpHostList(HostList):
    """Reads the list over HTTP.

    :param address: where the list is served
    :param timeout_s: deadline of a call
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def read(self) -> dict[str, ListedState]:
        """Return the states by name."""
        path = '/v1/health/state/any'
        try:
            answer = call(self._address, 'GET', path, timeout_s=self._timeout_s)
            if answer.status != HTTPStatus.OK:
                raise PlatformError(f'the host list answered {answer.status}')
            checks = json.loads(answer.body)
            return {check['ServiceID']: _listed(check) for check in checks}
        except (OSError, ValueError, KeyError, TypeError) as exc:
            raise PlatformError(f'host list at {self._address}: {exc}') from exc


def open_host_list(address: Address, timeout_s: float) -> HostList:
    """Return a reader of the host list.

    :param address: where the list is served
    :param timeout_s: deadline of a call
    """
    return HttpHostList(address, timeout_s)


def _listed(check: dict[str, str]) -> ListedState:
    leaving = check['CheckID'].startswith(MAINTENANCE)
    return ListedState(leaving, check['Status'] == 'critical' and not leaving)
