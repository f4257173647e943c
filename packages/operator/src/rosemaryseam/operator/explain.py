"""The story of one request, put together from the logs of several hosts."""

from __future__ import annotations

import json
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.operator.commands import Result

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BEFORE = timedelta(seconds=10)  # what hosts came to believe shortly before counts
AFTER = timedelta(seconds=1)
FINAL_EVENTS = (
    'request_answered',
    'request_refused',
    'failure_passed_on',
    'answer_broken_off',
    'request_timed_out',
    'attempt_cancelled',
    'request_unreadable',
)
BELIEF_EVENTS = (
    'started',
    'stopping',
    'stopped',
    'reloaded',
    'store_lost',
    'store_regained',
    'store_history_lost',
    'configuration_in_force',
    'configuration_rejected',
    'reader_changed',
    'reader_avoided',
    'dispatcher_changed',
    'dispatcher_suspected',
    'internal_error',
)
_COMMON_FIELDS = ('time', 'host', 'level', 'event', 'id')


class Line(NamedTuple):
    """One line of a host's log; ``fields`` are those that not every line has."""

    at: datetime
    host: str
    event: str
    request_id: str | None
    fields: dict[str, Any]


class Story(NamedTuple):
    """What the logs tell of a request, in the order of time."""

    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    dropped: int


def explain(request_id: str, paths: Iterable[str]) -> Result:
    """Return the story of a request.

    :param request_id: as the caller sent it
    :param paths: log files; lines may have a prefix before their JSON
    :raises SettingsError: a file cannot be read
    """
    story = tell_story(request_id, read_logs(paths))
    data = [_plain(line) for line in (*story.lines, *story.context)]
    if not story.lines:
        text = (
            f'no line names {request_id}; hosts dropped {story.dropped} lines '
            'in these logs'
        )
        return Result(ResultCode.NOT_IN_LOGS, (text,), data)
    return Result(ResultCode.OK, tuple(_format_story(request_id, story)), data)


def read_logs(paths: Iterable[str]) -> Iterator[Line]:
    """Yield the lines of log files; what is no log line is passed over.

    :param paths: of the files
    :raises SettingsError: a file cannot be read
    """
    for path in paths:
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                for text in file:
                    line = parse_line(text)
                    if line is not None:
                        yield line
        except OSError as exc:
            message = f'{path}: {exc.strerror}'
            raise SettingsError(message, ResultCode.SETTINGS_FILE_MISSING) from exc


def parse_line(text: str) -> Line | None:
    """Return a log line, or ``None`` for any other text.

    :param text: one line of a file
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
        at = datetime.fromisoformat(data['time'])
        fields = {key: data[key] for key in data if key not in _COMMON_FIELDS}
        return Line(at, data['host'], data['event'], data.get('id'), fields)
    except (ValueError, KeyError, TypeError):
        return None


def tell_story(request_id: str, lines: Iterable[Line]) -> Story:
    """Return the lines of a request, and what hosts came to believe around it.

    :param request_id: as the caller sent it
    :param lines: of all hosts, in any order
    """
    everything = sorted(lines, key=lambda line: line.at)
    own = [line for line in everything if line.request_id == request_id]
    dropped = sum(
        line.fields.get('count', 0)
        for line in everything
        if line.event == 'lines_dropped'
    )
    if not own:
        return Story((), (), dropped)
    hosts = {line.host for line in own}
    upstreams = {line.fields['upstream'] for line in own if 'upstream' in line.fields}
    first, last = own[0].at - BEFORE, own[-1].at + AFTER
    context = [
        line
        for line in everything
        if first <= line.at <= last and _matters(line, hosts, upstreams)
    ]
    return Story(tuple(own), tuple(context), dropped)


def _matters(line: Line, hosts: set[str], upstreams: set[str]) -> bool:
    if line.request_id is not None:
        return False
    if line.fields.get('upstream') in upstreams:
        return True
    return line.host in hosts and line.event in BELIEF_EVENTS


def _format_story(request_id: str, story: Story) -> Iterator[str]:
    yield f'request {request_id}: {_outcome(story)}'
    context = _shown_once(story.context)
    for line in sorted((*story.lines, *context), key=lambda line: line.at):
        mark = '*' if line.request_id else ' '
        fields = ', '.join(
            f'{key} {_text(value)}' for key, value in line.fields.items()
        )
        time = line.at.isoformat(timespec='milliseconds')[11:23]
        yield f'{mark} {time} {line.host} {line.event}: {fields}'
    if story.dropped:
        yield f'hosts dropped {story.dropped} lines in these logs'


def _shown_once(context: Iterable[Line]) -> list[Line]:
    """Return context lines without those that other hosts logged alike."""
    shown: dict[tuple[str, str], Line] = {}
    for line in context:
        key = (line.event, json.dumps(line.fields, sort_keys=True, default=str))
        shown.setdefault(key, line)
    return list(shown.values())


def _outcome(story: Story) -> str:
    """Return in a few words how a request ended."""
    sent = sum(1 for line in story.lines if line.event == 'request_sent')
    ends = [line for line in story.lines if line.event in FINAL_EVENTS]
    if not ends:
        return f'sent to {sent} upstreams, no end in these logs'
    end = ends[-1]
    detail = end.fields.get('reason') or end.fields.get('status') or ''
    return f'{end.event} {_text(detail)}'.strip() + f', sent to {sent} upstreams'


def _text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, default=str)


def _plain(line: Line) -> dict[str, Any]:
    return {
        'time': line.at.isoformat(),
        'host': line.host,
        'event': line.event,
        'id': line.request_id,
        **line.fields,
    }
