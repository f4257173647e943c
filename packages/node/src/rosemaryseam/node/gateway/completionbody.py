"""The body of a completion request, whose prompt is passed on without decoding it."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from rosemaryseam.common.decoding import decoding
from rosemaryseam.common.errors import RequestError, UnreadableError

AFFINITY_PREFIX_BYTES = 1024  # length of the prompt prefix used for cache affinity
MAX_FLAG_BYTES = 16  # of a value that is read as true or false

_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


class CompletionBody(NamedTuple):
    """A completion request with its fields as they were sent.

    ``fields`` refers to the bytes of the request, which may hold millions of values.
    ``streamed`` tells whether the caller asks for a stream.
    """

    fields: dict[str, msgspec.Raw]
    model: str
    streamed: bool

    @property
    def prompt_start(self) -> bytes:
        """The first bytes of the prompt, by which engines are chosen."""
        prompt = self.fields.get('messages') or self.fields['prompt']
        return bytes(memoryview(prompt)[:AFFINITY_PREFIX_BYTES])

    def encode(self, tier: int) -> bytes:
        """Return the body to send to an upstream, which always asks for a stream.

        :param tier: tier of the request's class
        """
        fields = {**self.fields, 'priority': tier}
        if not self.streamed:
            fields['stream'] = True
            fields['stream_options'] = {'include_usage': True}
        return msgspec.json.encode(fields)


def parse_body(data: bytes | memoryview) -> CompletionBody:
    """Return the body of a completion request.

    :param data: bytes of the body
    :raises RequestError: the body is no JSON, or lacks a model or a prompt
    """
    try:
        with decoding('body'):
            fields = _DECODER.decode(data)
    except UnreadableError as exc:
        raise RequestError('the body is not a valid JSON object') from exc
    try:
        with decoding('model'):
            model = msgspec.json.decode(fields['model'], type=str)
            streamed = _is_true(fields.get('stream', b'false'))
    except UnreadableError as exc:
        raise RequestError('the body must be an object that names a model') from exc
    prompt = fields.get('messages', fields.get('prompt', b''))
    if bytes(memoryview(prompt)[:1]) not in (b'[', b'"'):
        raise RequestError('the body must hold messages or a prompt')
    return CompletionBody(fields, model, streamed)


def _is_true(value: msgspec.Raw | bytes) -> bool:
    """Return whether a JSON value counts as true."""
    if memoryview(value).nbytes > MAX_FLAG_BYTES:
        return True
    return bool(msgspec.json.decode(value))
