"""The interface through which a host sends messages to dispatchers on other hosts."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt


class HostLink(abc.ABC):
    """Sends messages without waiting for delivery; messages may be lost."""

    @abc.abstractmethod
    def known_hosts(self) -> Mapping[str, float]:
        """Return the other hosts that may dispatch, with their capacities."""

    @abc.abstractmethod
    def send_request(self, host: str, request: DispatchRequest) -> None:
        """Ask a dispatcher to place a request.

        :param host: the dispatcher
        :param request: the request
        """

    @abc.abstractmethod
    def send_started(self, host: str, number: int) -> None:
        """Tell a dispatcher that an answer began.

        :param host: the dispatcher
        :param number: number of the request
        """

    @abc.abstractmethod
    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Tell a dispatcher how a request ended.

        :param host: the dispatcher
        :param entry: the request's end
        """

    @abc.abstractmethod
    def send_in_flight(self, host: str, report: InFlightReport) -> None:
        """Tell a new dispatcher of a request in flight.

        :param host: the dispatcher
        :param report: report of the request
        """

    @abc.abstractmethod
    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Tell a new dispatcher of a prompt that an engine processed recently.

        :param host: the dispatcher
        :param placed: the prompt
        """
