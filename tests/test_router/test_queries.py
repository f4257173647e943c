"""Tests the fingerprints by which requests are known again."""

from __future__ import annotations

from typing import Any

import pytest

from rosemaryseam.router.queries import fingerprint
from rosemaryseam.router.requests import CallerRequest, Prompt, PromptPart

REQUEST = CallerRequest(
    id='r-1',
    method=b'POST',
    target=b'/a/b?x=1',
    host='h.example',
    path='/a/b',
    headers=[],
    body=b'body',
    api_key='key',
    timeout_s=1.0,
    prompt=None,
    arrived=0.0,
)

CHANGES = [
    ('another-id', {'id': 'r-2'}, True),
    ('later', {'arrived': 9.0, 'timeout_s': 2.0}, True),
    ('other-headers', {'headers': [(b'X', b'y')]}, True),
    ('prompt', {'prompt': Prompt('m', (PromptPart('p', 1),), 1, 1, 1)}, True),
    ('another-caller', {'api_key': 'other'}, False),
    ('no-caller', {'api_key': None}, False),
    ('another-host', {'host': 'i.example'}, False),
    ('another-query', {'target': b'/a/b?x=2'}, False),
    ('another-method', {'method': b'PUT'}, False),
    ('another-body', {'body': b'bodY'}, False),
    ('shifted-fields', {'api_key': 'keyb', 'body': b'ody'}, False),
]


# Guards against repeats that are not known again, and sound requests taken for them.
@pytest.mark.parametrize(
    ('changes', 'same'),
    [row[1:] for row in CHANGES],
    ids=[row[0] for row in CHANGES],
)
def test_a_fingerprint_tells_caller_path_and_body(
    changes: dict[str, Any], same: bool
) -> None:
    changed = REQUEST._replace(**changes)
    assert (fingerprint(changed) == fingerprint(REQUEST)) is same
