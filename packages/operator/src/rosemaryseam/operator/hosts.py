"""Calls to the hosts' admin ports."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.errors import PeerError, ResultCode
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.operator.settings import OperatorSettings


class HostClient:
    """Asks hosts by name.

    :param cfg: the settings
    """

    def __init__(self, cfg: OperatorSettings) -> None:
        self._cfg = cfg

    def dump(self, host: str) -> dict[str, Any]:
        """Return the whole state of a host's process.

        :param host: its name in the settings
        :raises PeerError: the host is unknown, unreachable or refuses
        """
        return self._call(host, 'GET', '/dump')

    def dumps(self) -> dict[str, dict[str, Any] | PeerError]:
        """Return the state of every host, or why it cannot be had."""
        return self._each(self.dump)

    def push(self, data: bytes) -> dict[str, int | PeerError]:
        """Give a stored revision to every host.

        :param data: the revision in its stored form
        :returns: the revision then in force by host, or why it is not known
        """
        return self._each(
            lambda host: self._call(host, 'POST', '/catalogue', data)['revision']
        )

    def _each(self, function: Any) -> dict[str, Any]:
        def attempt(host: str) -> Any:
            try:
                return function(host)
            except PeerError as exc:
                return exc

        jobs = {host: gevent.spawn(attempt, host) for host in self._cfg.hosts}
        gevent.joinall(list(jobs.values()))
        return {host: job.value for host, job in jobs.items()}

    def _call(self, host: str, method: str, path: str, body: bytes = b'') -> Any:
        if host not in self._cfg.hosts:
            message = f'{host!r} is not among the hosts of the settings'
            raise PeerError(message, ResultCode.USAGE)
        address = parse_address(self._cfg.hosts[host])
        headers = {'Authorization': f'Bearer {self._cfg.admin_token}'}
        try:
            answer = call(address, method, path, body, headers, self._cfg.timeout_s)
            if answer.status != HTTPStatus.OK:
                raise OSError(f'answer {answer.status}')
            return json.loads(answer.body)
        except (OSError, ValueError) as exc:
            message = f'host {host} at {address}: {exc}'
            raise PeerError(message, ResultCode.HOST_UNREACHABLE) from exc
