"""Encoding of the messages between hosts about the placement of requests."""

from __future__ import annotations

import json
import pathlib
import zlib
from typing import TYPE_CHECKING, Any, TypeVar

import capnp

from rosemaryseam.common.decoding import (
    decode_json,
    decoding,
    readable,
    require_number,
    require_object,
)
from rosemaryseam.common.errors import PeerError, UnreadableError
from rosemaryseam.router.crashcodec import (
    decode_crash,
    decode_quarantined,
    encode_crash,
    encode_quarantined,
)
from rosemaryseam.router.datagrams import (
    Datagram,
    DispatchRequest,
    EndedRequest,
    Incarnation,
    PartMessage,
    Reply,
)
from rosemaryseam.router.origins import Software, StreamOrigin
from rosemaryseam.router.queries import InFlightReport, PlacedPrompt, Placement, Query
from rosemaryseam.router.requestlimits import LimitReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.policy.prefixes import Part

T = TypeVar('T')

MAX_DATAGRAM_BYTES = 60_000
MAX_TRAVERSAL_WORDS = 65_536
MAX_MESSAGE_BYTES = 8 * MAX_TRAVERSAL_WORDS  # of a datagram after decompression
COMPRESSION_LEVEL = 1  # the fastest
UNSET = -1  # encodes an absent number

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peerwire.capnp')))


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram.

    :param datagram: messages to encode
    """
    message = _SCHEMA.Datagram.new_message(
        host=datagram.host,
        incarnation=datagram.incarnation,
        leaving=datagram.leaving,
        sync=datagram.sync,
        queries=[_encode_query(entry) for entry in datagram.dispatch_requests],
        replies=[_encode_reply(reply) for reply in datagram.replies],
        started=list(datagram.started),
        ended=[_encode_ended(entry) for entry in datagram.ended],
        held=[_encode_in_flight(entry) for entry in datagram.in_flight],
        active=list(datagram.active),
        placed=[_encode_placed(entry) for entry in datagram.placed],
        left=[entry._asdict() for entry in datagram.left],
        crashes=[encode_crash(entry) for entry in datagram.crashes],
        quarantined=[encode_quarantined(entry) for entry in datagram.quarantined],
        limits=[_encode_limit(entry) for entry in datagram.limits],
        origins=[_encode_origin(entry) for entry in datagram.origins],
        originLookups=list(datagram.origin_lookups),
        originsToWrite=[_encode_origin(entry) for entry in datagram.origins_to_write],
        messages=[
            {'kind': kind, 'body': json.dumps(body, separators=(',', ':'))}
            for kind, body in datagram.messages
        ],
    )
    # The packed format of the library is smaller still, but its reader aborts the
    # process when a message is malformed.
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def decode(data: bytes) -> Datagram:
    """Decode a datagram; entries of it that are unreadable are left out.

    :param data: bytes received from a peer
    :raises PeerError: the bytes are not a valid datagram
    """
    try:
        with (
            decoding('datagram'),
            _SCHEMA.Datagram.from_bytes(
                _decompress(data), traversal_limit_in_words=MAX_TRAVERSAL_WORDS
            ) as message,
        ):
            return _decode(message)
    except UnreadableError as exc:
        raise PeerError(exc.message) from exc


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError('the message is cut short or too long')
    return message


def _decode(message: object) -> Datagram:
    unreadable: list[UnreadableError] = []

    def each(entries: Iterable[Any], decode_entry: Callable[[Any], T]) -> tuple[T, ...]:
        return tuple(readable(entries, decode_entry, unreadable.append))

    datagram = Datagram(
        host=message.host,
        incarnation=message.incarnation,
        leaving=message.leaving,
        sync=message.sync,
        dispatch_requests=each(message.queries, _decode_query),
        replies=each(message.replies, _decode_reply),
        started=tuple(message.started),
        ended=each(message.ended, _decode_ended),
        in_flight=each(message.held, _decode_in_flight),
        active=tuple(message.active),
        placed=each(message.placed, _decode_placed),
        left=each(message.left, lambda entry: Incarnation(entry.id, entry.born)),
        crashes=each(message.crashes, decode_crash),
        quarantined=each(message.quarantined, decode_quarantined),
        limits=each(message.limits, _decode_limit),
        origins=each(message.origins, _decode_origin),
        origin_lookups=each(message.originLookups, str),
        origins_to_write=each(message.originsToWrite, _decode_origin),
        messages=each(message.messages, _decode_part_message),
    )
    return datagram._replace(unreadable=tuple(exc.message for exc in unreadable))


def _decode_part_message(entry: object) -> PartMessage:
    return PartMessage(entry.kind, decode_json(entry.body))


def _to_ms(seconds: float | None) -> int:
    return 0 if seconds is None else max(0, int(seconds * 1000))


def _encode_query(request: DispatchRequest) -> dict[str, object]:
    query = request.query
    rank = query.workspace_rank
    return {
        'number': query.number,
        'requestId': query.request_id,
        'service': query.service,
        'slot': request.slot,
        'route': query.route,
        'rank': query.rank,
        'workspaceRank': UNSET if rank is None else rank,
        'parts': _encode_parts(query.parts),
        'promptTokens': query.prompt_tokens,
        'outputTokens': query.output_tokens,
        'mostOutputTokens': query.max_output_tokens,
        'pauseMs': _to_ms(query.pause_s),
        'timeLeftMs': _to_ms(query.due_in_s),
        'patienceMs': _to_ms(query.expires_in_s),
        'bodyBytes': query.body_bytes,
        'zone': query.zone,
        'excluded': list(query.excluded),
        'fingerprint': query.fingerprint,
        'hasVersion': query.version is not None,
        'version': query.version or '',
    }


def _decode_query(entry: object) -> DispatchRequest:
    rank = entry.workspaceRank
    query = Query(
        number=entry.number,
        request_id=entry.requestId,
        service=entry.service,
        route=entry.route,
        rank=entry.rank,
        workspace_rank=None if rank == UNSET else rank,
        parts=_decode_parts(entry.parts),
        prompt_tokens=entry.promptTokens,
        output_tokens=entry.outputTokens,
        max_output_tokens=entry.mostOutputTokens,
        pause_s=entry.pauseMs / 1000 if entry.pauseMs else None,
        due_in_s=entry.timeLeftMs / 1000,
        expires_in_s=entry.patienceMs / 1000,
        body_bytes=entry.bodyBytes,
        zone=entry.zone,
        excluded=tuple(entry.excluded),
        fingerprint=entry.fingerprint,
        version=entry.version if entry.hasVersion else None,
    )
    return DispatchRequest(entry.slot, query)


def _encode_reply(reply: Reply) -> dict[str, object]:
    placement = reply.placement
    if placement is None:
        return {
            'number': reply.number,
            'refusal': reply.refusal,
            'retryAfterMs': _to_ms(reply.retry_after_s),
            'pressure': reply.pressure,
            'unable': reply.no_upstream_known,
        }
    urgency = placement.urgency
    return {
        'number': reply.number,
        'upstream': placement.upstream,
        'urgency': UNSET if urgency is None else urgency,
        'fetchFrom': placement.fetch_from or '',
        'expectedFirstMs': _to_ms(placement.expected_first_s),
        'answerLimitMs': _to_ms(placement.answer_timeout_s),
        'inputs': json.dumps(placement.inputs),
        'engineSpeed': placement.engine_slowdown,
        'pressure': reply.pressure,
        'isLimited': placement.request_limit is not None,
        'requestLimit': placement.request_limit or 0.0,
    }


def _decode_reply(entry: object) -> Reply:
    placement = None
    if entry.upstream:
        placement = Placement(
            number=entry.number,
            upstream=entry.upstream,
            urgency=None if entry.urgency == UNSET else entry.urgency,
            fetch_from=entry.fetchFrom or None,
            expected_first_s=entry.expectedFirstMs / 1000,
            answer_timeout_s=entry.answerLimitMs / 1000 or None,
            engine_slowdown=require_number(entry.engineSpeed),
            inputs=_decode_inputs(entry.inputs),
            request_limit=require_number(entry.requestLimit)
            if entry.isLimited
            else None,
        )
    return Reply(
        entry.number,
        placement,
        entry.refusal,
        entry.retryAfterMs / 1000,
        require_number(entry.pressure),
        entry.unable,
    )


def _decode_inputs(text: str) -> dict[str, object]:
    """Return the inputs of a placement, which is good without them too."""
    try:
        return require_object(decode_json(text or '{}'))
    except UnreadableError:
        return {}


def _encode_ended(entry: EndedRequest) -> dict[str, object]:
    return {
        'number': entry.number,
        'outcome': entry.outcome,
        'tookMs': _to_ms(entry.duration_s),
    }


def _decode_ended(entry: object) -> EndedRequest:
    return EndedRequest(entry.number, entry.outcome, entry.tookMs / 1000)


def _encode_in_flight(entry: InFlightReport) -> dict[str, object]:
    return {
        'number': entry.number,
        'upstream': entry.upstream,
        'rank': entry.rank,
        'prefillTokens': entry.prefill_tokens,
        'memoryTokens': entry.memory_tokens,
        'outputTokens': entry.output_tokens,
        'pauseMs': _to_ms(entry.pause_s),
        'expectedFirstMs': _to_ms(entry.expected_first_s),
        'ageMs': _to_ms(entry.age_s),
        'patienceMs': _to_ms(entry.expires_in_s),
        'started': entry.started,
        'digests': list(entry.digests),
        'fingerprint': entry.fingerprint,
    }


def _decode_in_flight(entry: object) -> InFlightReport:
    return InFlightReport(
        number=entry.number,
        upstream=entry.upstream,
        rank=entry.rank,
        prefill_tokens=entry.prefillTokens,
        memory_tokens=entry.memoryTokens,
        output_tokens=entry.outputTokens,
        pause_s=entry.pauseMs / 1000 if entry.pauseMs else None,
        expected_first_s=entry.expectedFirstMs / 1000,
        age_s=entry.ageMs / 1000,
        expires_in_s=entry.patienceMs / 1000,
        started=entry.started,
        digests=tuple(entry.digests),
        fingerprint=entry.fingerprint,
    )


def _encode_placed(entry: PlacedPrompt) -> dict[str, object]:
    return {
        'upstream': entry.upstream,
        'parts': _encode_parts(entry.parts),
        'engineSpeed': entry.engine_slowdown,
        'ageMs': _to_ms(entry.age_s),
    }


def _decode_placed(entry: object) -> PlacedPrompt:
    return PlacedPrompt(
        entry.upstream,
        _decode_parts(entry.parts),
        require_number(entry.engineSpeed),
        entry.ageMs / 1000,
    )


def _encode_limit(entry: LimitReport) -> dict[str, object]:
    return {
        'id': entry.upstream,
        'born': entry.born,
        'perSecond': UNSET if entry.limit is None else entry.limit,
        'ageMs': _to_ms(entry.age_s),
    }


def _decode_limit(entry: object) -> LimitReport:
    limit = None if entry.perSecond == UNSET else require_number(entry.perSecond)
    return LimitReport(entry.id, entry.born, limit, entry.ageMs / 1000)


def _encode_origin(entry: StreamOrigin) -> dict[str, object]:
    service, version = entry.software or ('', '')
    return {
        'id': entry.request_id,
        'isKnown': entry.software is not None,
        'service': service,
        'version': version,
    }


def _decode_origin(entry: object) -> StreamOrigin:
    software = Software(entry.service, entry.version) if entry.isKnown else None
    return StreamOrigin(entry.id, software)


def _encode_parts(parts: tuple[Part, ...]) -> list[dict[str, int]]:
    return [{'digest': digest, 'tokens': size} for digest, size in parts]


def _decode_parts(entries: object) -> tuple[Part, ...]:
    return tuple((part.digest, part.tokens) for part in entries)
