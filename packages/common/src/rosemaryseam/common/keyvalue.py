"""Client of the platform's key-value service, over Consul's KV HTTP API."""

from __future__ import annotations

import abc
import base64
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.decoding import decode_json, decoding, require_count
from rosemaryseam.common.errors import (
    PlatformError,
    UnknownOutcomeError,
    UnreadableError,
)
from rosemaryseam.common.exchange import TRANSPORT_ERRORS, call, open_exchange

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

MAX_VALUE_BYTES = 1_000_000
WATCH_GRACE_S = 2.0  # added to the wait time of a long poll for its deadline


class VersionedValue(NamedTuple):
    """A value and the modification index of its last change."""

    value: bytes
    index: int


class KeyValueStore(abc.ABC):
    """The operations of the platform's key-value service that the project uses."""

    @abc.abstractmethod
    def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or ``None`` when it is absent.

        :param key: the key
        :raises PlatformError: the service did not answer
        """

    @abc.abstractmethod
    def put(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if its modification index is still the given one.

        :param key: the key
        :param value: the value, at most :data:`MAX_VALUE_BYTES` long
        :param index: the expected index, 0 for a key that must be absent
        :returns: whether the write took effect
        :raises PlatformError: nothing was written
        :raises UnknownOutcomeError: the write may have taken effect
        """

    @abc.abstractmethod
    def watch(self, key: str, index: int, wait_s: float) -> VersionedValue | None:
        """Wait until a key's modification index exceeds the given one.

        :param key: the key
        :param index: the index that the caller knows
        :param wait_s: seconds for which the service may hold the call
        :returns: the value, changed or not, or ``None`` when it is absent
        :raises PlatformError: the service did not answer in time
        """


class HttpKeyValueStore(KeyValueStore):
    """A client that opens a connection for each call, since idle ones may break unseen.

    :param address: address of the service
    :param timeout_s: deadline of each call except a watch, in seconds
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or ``None``."""
        return self._read(f'/v1/kv/{key}', self._timeout_s)

    def watch(self, key: str, index: int, wait_s: float) -> VersionedValue | None:
        """Wait for a key to change by a long poll."""
        path = f'/v1/kv/{key}?index={index}&wait={int(wait_s * 1000)}ms'
        return self._read(path, wait_s + WATCH_GRACE_S)

    def put(self, key: str, value: bytes, index: int) -> bool:
        """Write a key by compare-and-swap."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(f'{key}: {len(value)} bytes do not fit in a value')
        with open_exchange(self._address, self._timeout_s, self._timeout_s) as exchange:
            try:
                exchange.connect()
            except TRANSPORT_ERRORS as exc:
                raise self._unavailable(exc) from exc
            try:
                with gevent.Timeout(self._timeout_s):
                    response = exchange.send('PUT', f'/v1/kv/{key}?cas={index}', value)
                    body = response.read()
            except TRANSPORT_ERRORS as exc:
                raise UnknownOutcomeError(f'no answer to a write of {key}') from exc
        return _parse_put_answer(response.status_code, body)

    def _read(self, path: str, timeout_s: float) -> VersionedValue | None:
        try:
            answer = call(self._address, 'GET', path, timeout_s=timeout_s)
        except OSError as exc:
            raise self._unavailable(exc) from exc
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            raise PlatformError(f'the key-value service answered {answer.status}')
        try:
            with decoding('value'):
                entry = decode_json(answer.body)[0]
                value = base64.b64decode(entry['Value'] or '', validate=True)
                return VersionedValue(value, require_count(entry['ModifyIndex']))
        except UnreadableError as exc:
            raise self._unavailable(exc) from exc

    def _unavailable(self, exc: BaseException) -> PlatformError:
        return PlatformError(f'key-value service at {self._address}: {exc}')


def open_key_value_store(address: Address, timeout_s: float) -> KeyValueStore:
    """Return a client of the key-value service.

    :param address: address of the service
    :param timeout_s: deadline of each call except a watch, in seconds
    """
    return HttpKeyValueStore(address, timeout_s)


def _parse_put_answer(status: int, body: bytes) -> bool:
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise PlatformError('the key-value service limits the rate of calls')
    if status != HTTPStatus.OK:
        raise UnknownOutcomeError(f'the key-value service answered {status}')
    if body.strip() not in (b'true', b'false'):
        raise UnknownOutcomeError('the answer to a write is cut short or unreadable')
    return body.strip() == b'true'
