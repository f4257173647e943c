"""How requests, answers and configuration of a deployment are read and written."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.router.requests import (
        AnswerHead,
        CallerRequest,
        RawHeaders,
        UpstreamCall,
    )
    from rosemaryseam.router.routes import RoutingTable
    from rosemaryseam.router.upstreams import Registration


class BadRequestError(Exception):
    """A caller's head cannot be read; the message says why."""


class RequestHead(NamedTuple):
    """A request as the HTTP library parsed it."""

    method: bytes
    target: bytes
    headers: RawHeaders


class HttpCodec(abc.ABC):
    """Translates between headers and the router's types."""

    @abc.abstractmethod
    def decode_request(
        self, line: RequestHead, body: bytes, arrived: float
    ) -> CallerRequest:
        """Read a caller's request.

        :param line: method, target and headers
        :param body: the whole body
        :param arrived: seconds on the monotonic clock at which the head was read
        :raises BadRequestError: a header has no readable value
        """

    @abc.abstractmethod
    def encode_call(self, call: UpstreamCall) -> RawHeaders:
        """Return the headers of a request to an upstream, host first.

        :param call: the request and what the router adds to it
        """

    @abc.abstractmethod
    def decode_answer(
        self, status: int, reason: bytes, headers: RawHeaders
    ) -> AnswerHead:
        """Read the head of an upstream's answer.

        :param status: the HTTP status
        :param reason: the HTTP reason phrase
        :param headers: as the upstream sent them
        """


class StateCodec(abc.ABC):
    """Reads what operators and upstreams write to the store."""

    root: str  # prefix of all keys that the router follows

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration.

        :param key: the key
        """

    @abc.abstractmethod
    def upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream that a key registers, or ``None``.

        :param key: the key
        """

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Read a configuration.

        :param value: as it stands in the store
        :raises CatalogueError: the value is no configuration
        """

    @abc.abstractmethod
    def decode_registration(self, upstream_id: str, value: bytes) -> Registration:
        """Read the entry of an upstream.

        :param upstream_id: from the entry's key
        :param value: as it stands in the store
        :raises CatalogueError: the entry names no upstream to use
        """
