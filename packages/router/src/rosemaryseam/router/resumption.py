"""Finds the software at which a stream goes on that a caller takes up again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.router.admission import RefusalError
from rosemaryseam.router.faults import NotSentError
from rosemaryseam.router.origins import Software
from rosemaryseam.router.routes import Repeat

if TYPE_CHECKING:
    from rosemaryseam.router.admission import AdmittedRequest
    from rosemaryseam.router.feed import StateFeed
    from rosemaryseam.router.origins import StreamOrigins
    from rosemaryseam.router.relay import StreamRelay
    from rosemaryseam.router.softwarehistory import SoftwareHistory
    from rosemaryseam.router.storeconfirmer import StoreConfirmer
    from rosemaryseam.router.upstreamconnection import UpstreamConnection
    from rosemaryseam.router.upstreams import Registry, Upstream

# After a store was restored, for lost entries of upstreams to be written again.
SETTLE_S = 3.0
RETRY_AFTER_S = 0.5  # the messages of another host that knows may have been lost


class StreamResumption:
    """Keeps streams at the software that began them, over several requests.

    :param origins: origins of streams
    :param software: versions that serve or have served lately
    :param feed: provides the routing table
    :param confirmer: tells whether the versions are the newest
    :param registry: registered upstreams
    """

    def __init__(
        self,
        origins: StreamOrigins,
        software: SoftwareHistory,
        feed: StateFeed,
        confirmer: StoreConfirmer,
        registry: Registry,
    ) -> None:
        self._origins = origins
        self._software = software
        self._feed = feed
        self._confirmer = confirmer
        self._registry = registry

    def record_begin(self, admitted: AdmittedRequest, upstream: Upstream) -> None:
        """Record the software whose event a caller got first, or next.

        :param admitted: request whose answer begins
        :param upstream: upstream that wrote the event
        """
        if admitted.route.repeat is not Repeat.RESUME:
            return
        request = admitted.request
        request_id = request.resumed_id if request.resume_after else request.id
        if request_id:
            software = Software(upstream.service, upstream.version)
            self._origins.record(request_id, software)

    def admit(self, admitted: AdmittedRequest, relay: StreamRelay) -> AdmittedRequest:
        """Return a request for the service that began its stream.

        Other requests are returned unchanged. May wait for other hosts.

        :param admitted: request that may take up a stream
        :param relay: relay of its answer, which is bound to the version
        :raises RefusalError: if the stream can't go on, or not safely
        """
        request = admitted.request
        if admitted.route.repeat is not Repeat.RESUME or not request.resume_after:
            return admitted
        software = (
            self._origins.find(request.resumed_id) if request.resumed_id else None
        )
        if software is None:
            software = self._only_software(admitted)
        table = self._feed.table
        shares = [share.service for share in admitted.route.shares]
        service = table.services.get(software.service) if table else None
        if service is None or software.service not in shares:
            raise _refusal('the service that began the stream is not routed to')
        relay.version = software.version
        return admitted._replace(service=service)

    def check_upstream(self, upstream: Upstream, conn: UpstreamConnection) -> None:
        """Check that a connection leads to the incarnation that is registered.

        An upstream may start again with other software under its id and address. The
        registry must have been known after the connection was made to tell of it.

        :param upstream: upstream at which a stream is to go on
        :param conn: connection to it
        :raises NotSentError: another incarnation may have accepted the connection
        """
        confirmed_at = self._feed.status.confirmed_at
        if conn.opened_at > confirmed_at and not self._confirmer.confirm():
            raise NotSentError(f'{upstream.id} may run other software by now')
        if not self._registry.is_usable(upstream):
            raise NotSentError(f'{upstream.id} is not registered any more')

    def _only_software(self, admitted: AdmittedRequest) -> Software:
        """Return the software of an unknown stream, if it can only be one.

        This host may have missed that another version joined, or may not have read the
        stream's origin from the store yet.

        :raises RefusalError: if there are several versions
        """
        name, resumed_id = admitted.service.name, admitted.request.resumed_id
        confirmed = self._confirmer.confirm()
        software = self._origins.get(resumed_id) if resumed_id else None
        if software is not None:
            return software
        versions = self._software.versions(name)
        log_event(
            'stream_origin_unknown',
            id=admitted.request.id,
            resumes=resumed_id,
            versions=sorted(versions),
            confirmed=confirmed,
            table_age_ms=int(self._feed.staleness_s() * 1000),
        )
        is_settled = self._feed.uncertain_s() > SETTLE_S
        if len(versions) != 1 or not confirmed or not is_settled:
            raise _refusal('the version that began the stream is not known')
        return Software(name, next(iter(versions)))


def _refusal(reason: str) -> RefusalError:
    return RefusalError(503, ResultCode.NO_UPSTREAM, reason, RETRY_AFTER_S)
