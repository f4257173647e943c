"""The interface through which a host sends messages to dispatchers on other hosts."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest, Incarnation
    from rosemaryseam.router.origins import StreamOrigin
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.requestlimits import LimitReport


class HostLink(abc.ABC):
    """Sends messages without waiting for delivery; messages may be lost."""

    @abc.abstractmethod
    def known_hosts(self) -> Mapping[str, float]:
        """Return the other hosts that may dispatch, with their capacities."""

    @abc.abstractmethod
    def send_request(self, host: str, request: DispatchRequest) -> None:
        """Send a request to a dispatcher, which places it.

        :param host: address of the dispatcher
        :param request: request to place and its slot
        """

    @abc.abstractmethod
    def send_started(self, host: str, number: int) -> None:
        """Report to a dispatcher that an answer has started.

        :param host: address of the dispatcher
        :param number: number of the request
        """

    @abc.abstractmethod
    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Report to a dispatcher how a request ended.

        :param host: address of the dispatcher
        :param entry: number, outcome and duration of the request
        """

    @abc.abstractmethod
    def send_crash(self, host: str, report: CrashReport) -> None:
        """Tell another host of a crash that this host saw.

        :param host: address of the host
        :param report: crash and what it may be due to
        """

    @abc.abstractmethod
    def send_limit(self, host: str, report: LimitReport) -> None:
        """Report the request limit of an upstream to its dispatcher.

        :param host: address of the dispatcher
        :param report: limit and its age
        """

    @abc.abstractmethod
    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        """Tell another host which software began a stream.

        :param host: address of the host
        :param origin: origin of the stream
        """

    @abc.abstractmethod
    def send_origin_to_write(self, host: str, origin: StreamOrigin) -> None:
        """Have another host write the origin of a stream to the store.

        :param host: address of the host
        :param origin: origin of the stream
        """

    @abc.abstractmethod
    def send_origin_lookup(self, host: str, request_id: str) -> None:
        """Ask another host which software began a stream.

        :param host: address of the host
        :param request_id: id of the request that brought the first event
        """

    @abc.abstractmethod
    def send_in_flight(self, host: str, report: InFlightReport) -> None:
        """Report an in-flight request to a new dispatcher.

        :param host: address of the dispatcher
        :param report: report of the request
        """

    @abc.abstractmethod
    def send_left(self, host: str, incarnation: Incarnation) -> None:
        """Report to a dispatcher that an upstream has left.

        :param host: address of the dispatcher
        :param incarnation: incarnation of the upstream
        """

    @abc.abstractmethod
    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Report a recently prefilled prompt to a new dispatcher.

        :param host: address of the dispatcher
        :param placed: prompt with its engine and age
        """

    @abc.abstractmethod
    def send_message(self, host: str, kind: str, body: Any) -> None:
        """Send a message of one part of the router to the same part of another host.

        :param host: address of the host
        :param kind: name of the part
        :param body: content, of JSON types
        """
