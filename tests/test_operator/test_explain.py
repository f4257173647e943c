"""Tests of the timeline of a request from the logs of several hosts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.operator.explain import explain, parse_line

if TYPE_CHECKING:
    import pathlib


def log_line(second: float, host: str, event: str, **fields: Any) -> str:
    """Return a log line, with the prefix that a collector may add."""
    data = {
        'time': f'2026-03-31T19:32:{second:06.3f}+00:00',
        'host': host,
        'level': 'INFO',
        'event': event,
        **fields,
    }
    return f'{second:8.3f} {host} {json.dumps(data)}\n'


HOST_A = [
    log_line(1.0, 'a', 'store_lost', reason='timed out', age_s=0.2),
    log_line(9.0, 'a', 'request_sent', id='r-1', upstream='u-1', attempt=1),
    log_line(9.1, 'a', 'attempt_failed', id='r-1', upstream='u-1', kind='SilentError'),
    log_line(9.2, 'a', 'request_sent', id='r-1', upstream='u-2', attempt=2),
    log_line(9.5, 'a', 'request_answered', id='r-1', upstream='u-2', status=200),
    log_line(
        9.6, 'a', 'request_refused', id='r-2', status=503, reason='engines are busy'
    ),
    log_line(9.7, 'a', 'lines_dropped', count=3),
]
HOST_B = [
    log_line(8.0, 'b', 'upstream_leaving', upstream='u-1', service='work'),
    log_line(8.1, 'b', 'upstream_leaving', upstream='u-9', service='work'),
    log_line(9.55, 'b', 'request_not_worth_it', id='r-2', asked_by='a', loss=2.5),
    'no log line at all\n',
    '{"half": \n',
]


@pytest.fixture
def logs(tmp_path: pathlib.Path) -> list[str]:
    """Paths of the logs of two hosts."""
    paths = [tmp_path / 'a.log', tmp_path / 'b.log']
    for path, lines in zip(paths, (HOST_A, HOST_B), strict=True):
        path.write_text(''.join(lines))
    return [str(path) for path in paths]


TIMELINES = [
    (
        'answered by the second upstream',
        'r-1',
        'request r-1: request_answered 200, sent to 2 upstreams',
        [
            'store_lost',
            'upstream_leaving',
            'request_sent',
            'attempt_failed',
            'request_sent',
            'request_answered',
        ],
    ),
    (
        'refused by another host',
        'r-2',
        'request r-2: request_refused engines are busy, sent to 0 upstreams',
        ['store_lost', 'request_not_worth_it', 'request_refused'],
    ),
]


@pytest.mark.parametrize(
    ('name', 'request_id', 'first', 'events'),
    TIMELINES,
    ids=[row[0] for row in TIMELINES],
)
def test_timeline_has_lines_and_context_in_order(
    name: str, request_id: str, first: str, events: list[str], logs: list[str]
) -> None:
    result = explain(request_id, logs)
    assert result.code is ResultCode.OK
    assert result.lines[0] == first
    shown = [text[2:].split()[2].rstrip(':') for text in result.lines[1:-1]]
    assert shown == events
    assert result.lines[-1] == 'hosts dropped 3 lines in these logs'


def test_unknown_request_is_reported(logs: list[str]) -> None:
    result = explain('r-3', logs)
    assert result.code is ResultCode.NOT_IN_LOGS
    assert 'dropped 3 lines' in result.lines[0]


def test_missing_file_is_reported() -> None:
    with pytest.raises(SettingsError, match=r'nowhere\.log: No such file'):
        explain('r-1', ['nowhere.log'])


OTHER_TEXT = ['', 'text', '{}', '{"time": 3}', '{"time": "x", "host": "a"}', '[1]']


@pytest.mark.parametrize('text', OTHER_TEXT)
def test_other_text_is_skipped(text: str) -> None:
    assert parse_line(text) is None
