"""Builds the timeline of one request from the logs of several hosts."""

from __future__ import annotations

import json
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.decoding import decode_json, decoding
from rosemaryseam.common.errors import ResultCode, SettingsError, UnreadableError
from rosemaryseam.operator.commands import Result

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Changes of state shortly before the first line of a request may explain its outcome.
CONTEXT_BEFORE = timedelta(seconds=10)
CONTEXT_AFTER = timedelta(seconds=1)
FINAL_EVENTS = (
    'request_answered',
    'request_refused',
    'failure_passed_on',
    'answer_broken_off',
    'request_timed_out',
    'attempt_cancelled',
    'request_unreadable',
)
CONTEXT_EVENTS = (
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
    'prompt_part_quarantined',
    'prompt_part_released',
    'internal_error',
)
_COMMON_FIELDS = ('time', 'host', 'level', 'event', 'id')


class LogLine(NamedTuple):
    """A line of a host's log; ``fields`` are those specific to the event."""

    at: datetime
    host: str
    event: str
    request_id: str | None
    fields: dict[str, Any]


class RequestTimeline(NamedTuple):
    """The log lines about a request, in order of time.

    ``context`` are lines about the state of hosts and upstreams around the request.
    ``dropped`` is the number of lines that hosts dropped from the logs.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    dropped: int


def explain(request_id: str, paths: Iterable[str]) -> Result:
    """Return the timeline of a request.

    :param request_id: the id that the caller sent
    :param paths: paths of log files; lines may have a prefix before their JSON
    :raises SettingsError: a file cannot be read
    """
    timeline = build_timeline(request_id, read_logs(paths))
    data = [_to_json_object(line) for line in (*timeline.lines, *timeline.context)]
    if not timeline.lines:
        text = (
            f'no line names {request_id}; hosts dropped {timeline.dropped} lines '
            'in these logs'
        )
        return Result(ResultCode.NOT_IN_LOGS, (text,), data)
    return Result(ResultCode.OK, tuple(_format_timeline(request_id, timeline)), data)


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files and skip any other text.

    :param paths: paths of the files
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


def parse_line(text: str) -> LogLine | None:
    """Parse a log line and return it, or ``None`` for any other text.

    :param text: one line of a file
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        with decoding('line'):
            data = decode_json(text[start:])
            at = datetime.fromisoformat(data['time'])
            fields = {key: data[key] for key in data if key not in _COMMON_FIELDS}
            return LogLine(at, data['host'], data['event'], data.get('id'), fields)
    except UnreadableError:
        return None


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Return the lines of a request with the changes of state around it.

    :param request_id: the id that the caller sent
    :param lines: log lines of all hosts, in any order
    """
    all_lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in all_lines if line.request_id == request_id]
    dropped = sum(
        line.fields.get('count', 0)
        for line in all_lines
        if line.event == 'lines_dropped'
    )
    if not own:
        return RequestTimeline((), (), dropped)
    hosts = {line.host for line in own}
    upstreams = {line.fields['upstream'] for line in own if 'upstream' in line.fields}
    first, last = own[0].at - CONTEXT_BEFORE, own[-1].at + CONTEXT_AFTER
    context = [
        line
        for line in all_lines
        if first <= line.at <= last and _is_context(line, hosts, upstreams)
    ]
    return RequestTimeline(tuple(own), tuple(context), dropped)


def _is_context(line: LogLine, hosts: set[str], upstreams: set[str]) -> bool:
    if line.request_id is not None:
        return False
    if line.fields.get('upstream') in upstreams:
        return True
    return line.host in hosts and line.event in CONTEXT_EVENTS


def _format_timeline(request_id: str, timeline: RequestTimeline) -> Iterator[str]:
    yield f'request {request_id}: {_describe_outcome(timeline)}'
    context = _drop_repeated(timeline.context)
    for line in sorted((*timeline.lines, *context), key=lambda line: line.at):
        mark = '*' if line.request_id else ' '
        fields = ', '.join(
            f'{key} {_format_value(value)}' for key, value in line.fields.items()
        )
        time = line.at.isoformat(timespec='milliseconds')[11:23]
        yield f'{mark} {time} {line.host} {line.event}: {fields}'
    if timeline.dropped:
        yield f'hosts dropped {timeline.dropped} lines in these logs'


def _drop_repeated(context: Iterable[LogLine]) -> list[LogLine]:
    """Return context lines; of lines with the same event and fields, only the first."""
    shown: dict[tuple[str, str], LogLine] = {}
    for line in context:
        key = (line.event, json.dumps(line.fields, sort_keys=True, default=str))
        shown.setdefault(key, line)
    return list(shown.values())


def _describe_outcome(timeline: RequestTimeline) -> str:
    """Return in a few words how a request ended."""
    sent = sum(1 for line in timeline.lines if line.event == 'request_sent')
    ends = [line for line in timeline.lines if line.event in FINAL_EVENTS]
    if not ends:
        return f'sent to {sent} upstreams, no end in these logs'
    end = ends[-1]
    detail = end.fields.get('reason') or end.fields.get('status') or ''
    return (
        f'{end.event} {_format_value(detail)}'.strip() + f', sent to {sent} upstreams'
    )


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, default=str)


def _to_json_object(line: LogLine) -> dict[str, Any]:
    return {
        'time': line.at.isoformat(),
        'host': line.host,
        'event': line.event,
        'id': line.request_id,
        **line.fields,
    }
