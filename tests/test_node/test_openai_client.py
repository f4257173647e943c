"""The official OpenAI client works unmodified with every node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import openai
import pytest

from catalogues import KEYS
from fleet import call, wait_until
from rosemaryseam.standins.content import answer_tokens

if TYPE_CHECKING:
    from fleets import StartedFleet

CHAT = {'model': 'small', 'messages': [{'role': 'user', 'content': 'A stall, please.'}]}
TEXT = {'model': 'small', 'prompt': 'Write listing copy.'}


def _options(fleet: StartedFleet, host: str, **options: Any) -> dict[str, Any]:
    base_url = f'http://{fleet.nodes[host]["listen"]}/v1'
    return {'base_url': base_url, 'api_key': KEYS['market'], **options}


def _client(fleet: StartedFleet, host: str, **options: Any) -> openai.OpenAI:
    return openai.OpenAI(**_options(fleet, host, **options))


def _chat_text(chunks: Any) -> str:
    parts = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
    return ''.join(part or '' for part in parts)


@pytest.mark.parametrize('host', ['host-1', 'host-2', 'host-3'])
def test_unstreamed_chat_returns_the_complete_answer(
    shared_fleet: StartedFleet, host: str
) -> None:
    answer = _client(shared_fleet, host).chat.completions.create(**CHAT)
    tokens = answer_tokens(CHAT)
    assert answer.choices[0].message.content == ''.join(tokens)
    assert answer.choices[0].finish_reason == 'stop'
    assert answer.usage.completion_tokens == len(tokens)


@pytest.mark.parametrize('host', ['host-1', 'host-2', 'host-3'])
def test_streamed_chat_yields_the_complete_answer(
    shared_fleet: StartedFleet, host: str
) -> None:
    chunks = list(
        _client(shared_fleet, host).chat.completions.create(
            stream=True, stream_options={'include_usage': True}, **CHAT
        )
    )
    tokens = answer_tokens(CHAT)
    assert _chat_text(chunks) == ''.join(tokens)
    assert chunks[-1].usage.completion_tokens == len(tokens)
    assert len({chunk.id for chunk in chunks}) == 1


@pytest.mark.parametrize('stream', [False, True])
def test_text_completion_returns_the_complete_text(
    shared_fleet: StartedFleet, stream: bool
) -> None:
    client = _client(shared_fleet, 'host-1')
    answer = client.completions.create(stream=stream, **TEXT)
    chunks = answer if stream else [answer]
    text = ''.join(chunk.choices[0].text for chunk in chunks)
    assert text == ''.join(answer_tokens(TEXT))


def test_concurrent_streams_are_not_mixed(shared_fleet: StartedFleet) -> None:
    async def request_answer(
        client: openai.AsyncOpenAI, number: int
    ) -> tuple[str, str]:
        body = {**CHAT, 'messages': [{'role': 'user', 'content': f'case {number}'}]}
        stream = await client.chat.completions.create(stream=True, **body)
        text = _chat_text([chunk async for chunk in stream])
        return text, ''.join(answer_tokens(body))

    async def request_all() -> list[tuple[str, str]]:
        options = _options(shared_fleet, 'host-2')
        async with openai.AsyncOpenAI(**options) as client:
            return await asyncio.gather(*(request_answer(client, n) for n in range(20)))

    for got, expected in asyncio.run(request_all()):
        assert got == expected


def test_models_of_the_pools_are_listed(shared_fleet: StartedFleet) -> None:
    models = _client(shared_fleet, 'host-1').models.list()
    assert [model.id for model in models] == ['small']


@pytest.mark.parametrize(
    ('options', 'body', 'error', 'code'),
    [
        ({'api_key': 'wrong'}, {}, openai.AuthenticationError, 'unauthenticated'),
        ({}, {'model': 'unknown'}, openai.NotFoundError, 'not_found'),
        ({}, {'messages': None}, openai.BadRequestError, 'bad_request'),
        (
            {'default_headers': {'X-Request-Class': 'unknown'}},
            {},
            openai.PermissionDeniedError,
            'class_not_allowed',
        ),
    ],
)
def test_errors_have_the_openai_format(
    shared_fleet: StartedFleet,
    options: dict[str, Any],
    body: dict[str, Any],
    error: type[openai.APIStatusError],
    code: str,
) -> None:
    client = _client(shared_fleet, 'host-1', max_retries=0, **options)
    with pytest.raises(error) as caught:
        client.chat.completions.create(**{**CHAT, **body})
    assert caught.value.code == code
    assert caught.value.body['result_code'] > 0


def test_client_timeout_cancels_the_upstream_request(
    shared_fleet: StartedFleet,
) -> None:
    def cancelled_count() -> int:
        counts = [
            call(at, '/control')['counts'] for at in shared_fleet.engines.values()
        ]
        return sum(entry['cancelled'] for entry in counts)

    before = cancelled_count()
    client = _client(shared_fleet, 'host-1', max_retries=0, timeout=0.15)
    body = {**CHAT, 'messages': [{'role': 'user', 'content': 'a long letter 13'}]}
    assert len(answer_tokens(body)) > 30
    with pytest.raises(openai.APITimeoutError):
        client.chat.completions.create(**body)
    wait_until(
        lambda: cancelled_count() == before + 1,
        'the upstream request is cancelled',
        5.0,
    )
