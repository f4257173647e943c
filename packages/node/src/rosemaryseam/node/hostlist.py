"""Client of the platform's host list, over the health interface of Consul."""

from __future__ import annotations

import abc
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decoding import (
    decode_json,
    readable,
    require_list,
    require_text,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

MAINTENANCE_CHECK_PREFIX = '_service_maintenance:'


class ListedState(NamedTuple):
    """State of a host or an upstream in the host list: leaving, ended or neither."""

    leaving: bool
    ended: bool


class HostList(abc.ABC):
    """Interface for reading the platform's host list."""

    @abc.abstractmethod
    def read(self) -> dict[str, ListedState]:
        """Return the states of hosts and upstreams by name.

        :raises PlatformError: the list cannot be read
        """


class HttpHostList(HostList):
    """Reads the host list over HTTP.

    :param address: address that serves the list
    :param timeout_s: timeout of an HTTP request in seconds
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def read(self) -> dict[str, ListedState]:
        """Return the states of hosts and upstreams by name."""
        path = '/v1/health/state/any'
        try:
            answer = call(self._address, 'GET', path, timeout_s=self._timeout_s)
            if answer.status != HTTPStatus.OK:
                raise PlatformError(f'host list answered with status {answer.status}')
            checks = require_list(decode_json(answer.body))
            return dict(readable(checks, _decode_check))
        except (OSError, UnreadableError) as exc:
            raise PlatformError(
                f'cannot read the host list at {self._address}: {exc}'
            ) from exc


def open_host_list(address: Address, timeout_s: float) -> HostList:
    """Create a reader of the host list.

    :param address: address that serves the list
    :param timeout_s: timeout of an HTTP request in seconds
    """
    return HttpHostList(address, timeout_s)


def _decode_check(check: dict[str, str]) -> tuple[str, ListedState]:
    name = require_text(check['ServiceID'])
    leaving = check['CheckID'].startswith(MAINTENANCE_CHECK_PREFIX)
    return name, ListedState(leaving, check['Status'] == 'critical' and not leaving)
