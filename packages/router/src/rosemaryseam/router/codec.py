"""Interfaces that decode and encode the headers and stored data of a deployment."""

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
    """The head of a caller's request is invalid; the message says why."""


class RequestHead(NamedTuple):
    """The head of a request as the HTTP library parsed it."""

    method: bytes
    target: bytes
    headers: RawHeaders


class HttpCodec(abc.ABC):
    """Translates between HTTP headers and the router's types."""

    @abc.abstractmethod
    def decode_request(
        self, head: RequestHead, body: bytes | memoryview, arrived: float
    ) -> CallerRequest:
        """Decode a caller's request.

        :param head: method, target and headers
        :param body: complete body, valid until the request is answered
        :param arrived: monotonic time in seconds at which the head was read
        :raises BadRequestError: a header has an invalid value
        """

    @abc.abstractmethod
    def encode_call(self, call: UpstreamCall) -> RawHeaders:
        """Return the headers of a request to an upstream, with the host first.

        :param call: the caller's request and the values that the router adds
        """

    @abc.abstractmethod
    def decode_answer(
        self, status: int, reason: bytes, headers: RawHeaders
    ) -> AnswerHead:
        """Decode the head of an upstream's answer.

        :param status: HTTP status
        :param reason: HTTP reason phrase
        :param headers: headers as the upstream sent them
        """


class StateCodec(abc.ABC):
    """Decodes the entries that operators and upstreams write to the store."""

    root: str  # prefix of all keys that the router reads

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration.

        :param key: key in the store
        """

    @abc.abstractmethod
    def upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream that a key registers, or ``None``.

        :param key: key in the store
        """

    @abc.abstractmethod
    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decode a configuration.

        :param value: value of the configuration's key in the store
        :raises UnreadableError: the value is not a valid configuration
        """

    @abc.abstractmethod
    def decode_registration(self, upstream_id: str, value: bytes) -> Registration:
        """Decode the entry of an upstream.

        :param upstream_id: id of the upstream, from the entry's key
        :param value: value of the entry in the store
        :raises UnreadableError: the entry describes no usable upstream
        """
