"""Client of the hosts' admin ports."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.decoding import decode_json
from rosemaryseam.common.errors import PeerError, ResultCode, UnreadableError
from rosemaryseam.common.exchange import call

if TYPE_CHECKING:
    from rosemaryseam.operator.settings import OperatorSettings


class HostClient:
    """Calls the admin ports of hosts, which it knows by name.

    :param cfg: settings of the command
    """

    def __init__(self, cfg: OperatorSettings) -> None:
        self._cfg = cfg

    def dump(self, host: str) -> dict[str, Any]:
        """Return the complete state of a host's process.

        :param host: name of the host in the settings
        :raises PeerError: the host is unknown or unreachable, or refuses
        """
        return self._call(host, 'GET', '/dump')

    def dump_all(self) -> dict[str, dict[str, Any] | PeerError]:
        """Return the state of every host, or the error of the call."""
        return self._call_each(self.dump)

    def push_revision(self, data: bytes) -> dict[str, int | PeerError]:
        """Send a stored revision to every host.

        :param data: the revision in its stored form
        :returns: by host, the revision in force afterwards or the error of the call
        """
        return self._call_each(
            lambda host: self._call(host, 'POST', '/catalogue', data)['revision']
        )

    def _call_each(self, function: Any) -> dict[str, Any]:
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
            return decode_json(answer.body)
        except (OSError, UnreadableError) as exc:
            message = f'host {host} at {address}: {exc}'
            raise PeerError(message, ResultCode.HOST_UNREACHABLE) from exc
