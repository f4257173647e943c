"""What hosts send each other: requests to place, and what becomes of them."""

from __future__ import annotations

import json
import pathlib
from typing import TYPE_CHECKING, NamedTuple

import capnp

from rosemaryseam.common.errors import PeerError
from rosemaryseam.router.queries import InFlightReport, PlacedPrompt, Placement, Query

if TYPE_CHECKING:
    from rosemaryseam.policy.prefixes import Part

MAX_DATAGRAM_BYTES = 60_000
MAX_TRAVERSAL_WORDS = 65_536
NONE = -1  # on the wire, for a number that is not set

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peerwire.capnp')))


class DispatchRequest(NamedTuple):
    """A request to place, and the slot whose dispatcher is asked."""

    slot: int
    query: Query


class Reply(NamedTuple):
    """The dispatcher's reply to a request: a placement or a refusal.

    ``pressure`` is the load of its engines between 0 and 1. ``no_upstream_known`` is
    set when the dispatcher knows no upstream of the service yet; the request then goes
    to another dispatcher.
    """

    number: int
    placement: Placement | None
    refusal: str
    retry_after_s: float
    pressure: float
    no_upstream_known: bool = False


class EndedRequest(NamedTuple):
    """A request that is no longer in flight."""

    number: int
    outcome: str
    duration_s: float


class Datagram(NamedTuple):
    """News of one host for another.

    In a ``sync`` datagram ``active`` names all requests that the receiver placed or
    adopted for the sender.
    """

    host: str
    incarnation: int
    leaving: bool = False
    sync: bool = False
    dispatch_requests: tuple[DispatchRequest, ...] = ()
    replies: tuple[Reply, ...] = ()
    started: tuple[int, ...] = ()
    ended: tuple[EndedRequest, ...] = ()
    held: tuple[InFlightReport, ...] = ()
    active: tuple[int, ...] = ()
    placed: tuple[PlacedPrompt, ...] = ()


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram.

    :param datagram: the datagram
    """
    message = _SCHEMA.Datagram.new_message(
        host=datagram.host,
        incarnation=datagram.incarnation,
        leaving=datagram.leaving,
        sync=datagram.sync,
        queries=[_plain_query(ask) for ask in datagram.dispatch_requests],
        replies=[_plain_reply(reply) for reply in datagram.replies],
        started=list(datagram.started),
        ended=[_plain_ended(entry) for entry in datagram.ended],
        held=[_plain_held(entry) for entry in datagram.held],
        active=list(datagram.active),
        placed=[_plain_placed(entry) for entry in datagram.placed],
    )
    return message.to_bytes_packed()


def decode(data: bytes) -> Datagram:
    """Read a datagram.

    :param data: as a peer sent it
    :raises PeerError: the bytes are no datagram
    """
    try:
        message = _SCHEMA.Datagram.from_bytes_packed(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        return Datagram(
            host=message.host,
            incarnation=message.incarnation,
            leaving=message.leaving,
            sync=message.sync,
            dispatch_requests=tuple(_read_query(entry) for entry in message.queries),
            replies=tuple(_read_reply(entry) for entry in message.replies),
            started=tuple(message.started),
            ended=tuple(_read_ended(entry) for entry in message.ended),
            held=tuple(_read_held(entry) for entry in message.held),
            active=tuple(message.active),
            placed=tuple(_read_placed(entry) for entry in message.placed),
        )
    except (capnp.KjException, ValueError) as exc:
        raise PeerError(f'unreadable datagram: {exc}') from exc


def _ms(seconds: float | None) -> int:
    return 0 if seconds is None else max(0, int(seconds * 1000))


def _plain_query(ask: DispatchRequest) -> dict[str, object]:
    query = ask.query
    rank = query.workspace_rank
    return {
        'number': query.number,
        'requestId': query.request_id,
        'service': query.service,
        'slot': ask.slot,
        'route': query.route,
        'rank': query.rank,
        'workspaceRank': NONE if rank is None else rank,
        'parts': _plain_parts(query.parts),
        'promptTokens': query.prompt_tokens,
        'outputTokens': query.output_tokens,
        'mostOutputTokens': query.max_output_tokens,
        'pauseMs': _ms(query.pause_s),
        'timeLeftMs': _ms(query.time_left_s),
        'patienceMs': _ms(query.patience_s),
        'bodyBytes': query.body_bytes,
        'zone': query.zone,
        'excluded': list(query.excluded),
    }


def _read_query(entry: object) -> DispatchRequest:
    rank = entry.workspaceRank
    query = Query(
        number=entry.number,
        request_id=entry.requestId,
        service=entry.service,
        route=entry.route,
        rank=entry.rank,
        workspace_rank=None if rank == NONE else rank,
        parts=_read_parts(entry.parts),
        prompt_tokens=entry.promptTokens,
        output_tokens=entry.outputTokens,
        max_output_tokens=entry.mostOutputTokens,
        pause_s=entry.pauseMs / 1000 if entry.pauseMs else None,
        time_left_s=entry.timeLeftMs / 1000,
        patience_s=entry.patienceMs / 1000,
        body_bytes=entry.bodyBytes,
        zone=entry.zone,
        excluded=tuple(entry.excluded),
    )
    return DispatchRequest(entry.slot, query)


def _plain_reply(reply: Reply) -> dict[str, object]:
    placement = reply.placement
    if placement is None:
        return {
            'number': reply.number,
            'refusal': reply.refusal,
            'retryAfterMs': _ms(reply.retry_after_s),
            'pressure': reply.pressure,
            'unable': reply.no_upstream_known,
        }
    urgency = placement.urgency
    return {
        'number': reply.number,
        'upstream': placement.upstream,
        'urgency': NONE if urgency is None else urgency,
        'fetchFrom': placement.fetch_from or '',
        'expectedFirstMs': _ms(placement.expected_first_s),
        'answerLimitMs': _ms(placement.answer_timeout_s),
        'inputs': json.dumps(placement.inputs),
        'engineSpeed': placement.engine_speed,
        'pressure': reply.pressure,
    }


def _read_reply(entry: object) -> Reply:
    placement = None
    if entry.upstream:
        placement = Placement(
            number=entry.number,
            upstream=entry.upstream,
            urgency=None if entry.urgency == NONE else entry.urgency,
            fetch_from=entry.fetchFrom or None,
            expected_first_s=entry.expectedFirstMs / 1000,
            answer_timeout_s=entry.answerLimitMs / 1000 or None,
            engine_speed=entry.engineSpeed,
            inputs=json.loads(entry.inputs or '{}'),
        )
    return Reply(
        entry.number,
        placement,
        entry.refusal,
        entry.retryAfterMs / 1000,
        entry.pressure,
        entry.unable,
    )


def _plain_ended(entry: EndedRequest) -> dict[str, object]:
    return {
        'number': entry.number,
        'outcome': entry.outcome,
        'tookMs': _ms(entry.duration_s),
    }


def _read_ended(entry: object) -> EndedRequest:
    return EndedRequest(entry.number, entry.outcome, entry.tookMs / 1000)


def _plain_held(entry: InFlightReport) -> dict[str, object]:
    return {
        'number': entry.number,
        'upstream': entry.upstream,
        'rank': entry.rank,
        'prefillTokens': entry.prefill_tokens,
        'memoryTokens': entry.memory_tokens,
        'outputTokens': entry.output_tokens,
        'pauseMs': _ms(entry.pause_s),
        'expectedFirstMs': _ms(entry.expected_first_s),
        'ageMs': _ms(entry.age_s),
        'patienceMs': _ms(entry.patience_s),
        'started': entry.started,
    }


def _read_held(entry: object) -> InFlightReport:
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
        patience_s=entry.patienceMs / 1000,
        started=entry.started,
    )


def _plain_placed(entry: PlacedPrompt) -> dict[str, object]:
    return {
        'upstream': entry.upstream,
        'parts': _plain_parts(entry.parts),
        'engineSpeed': entry.engine_speed,
        'ageMs': _ms(entry.age_s),
    }


def _read_placed(entry: object) -> PlacedPrompt:
    return PlacedPrompt(
        entry.upstream,
        _read_parts(entry.parts),
        entry.engineSpeed,
        entry.ageMs / 1000,
    )


def _plain_parts(parts: tuple[Part, ...]) -> list[dict[str, int]]:
    return [{'digest': digest, 'tokens': size} for digest, size in parts]


def _read_parts(entries: object) -> tuple[Part, ...]:
    return tuple((part.digest, part.tokens) for part in entries)
