"""The interface of the platform's API for work that one host does at a time."""

from __future__ import annotations

import abc
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.policy.dutylease import Permission


class DutyResult(enum.Enum):
    """The outcome of a call.

    After ``REFUSED`` the call was certainly not executed. ``NONE_AVAILABLE`` says that
    the platform has nothing to give, or rejects the call for good. After ``UNKNOWN``
    the call may have been executed.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    NONE_AVAILABLE = 'none_available'
    UNKNOWN = 'unknown'


class DutyPort(abc.ABC):
    """Makes the calls of a duty's holder.

    An implementation sends nothing once the permission has expired, and gives a call
    up before that. ``answered_at`` is the monotonic time of the latest answer.
    """

    answered_at = -math.inf

    @abc.abstractmethod
    def report_usage(
        self, window: int, counts: Mapping[str, int], permission: Permission
    ) -> DutyResult:
        """Report the number of requests of each workspace in a window.

        :param window: number of the window
        :param counts: number of requests by workspace
        :param permission: permission of the duty's holder
        """

    @abc.abstractmethod
    def order_upstreams(
        self, service: str, zone: str, count: int, spot: bool, permission: Permission
    ) -> DutyResult:
        """Order the number of upstreams of a service in a zone.

        :param service: name of the service
        :param zone: availability zone
        :param count: number of upstreams wanted
        :param spot: whether spot upstreams are ordered, or ordinary ones
        :param permission: permission of the duty's holder
        """
