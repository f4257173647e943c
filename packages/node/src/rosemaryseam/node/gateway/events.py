"""Server-sent events of completions and their aggregation to complete answers."""

from __future__ import annotations

import json
from typing import Any

from rosemaryseam.common.decoding import decode_json, decoding, require_object

DATA_PREFIX = b'data: '
DONE_MARKER = b'[DONE]'
FIRST_MEASURED_BYTES = 65_536  # of events

_CONCATENATED_FIELDS = frozenset(
    {'content', 'text', 'arguments', 'reasoning_content', 'refusal'}
)
_ANSWER_OBJECTS = {
    'chat.completion.chunk': 'chat.completion',
    'text_completion': 'text_completion',
}


class AnswerAggregator:
    """Builds the answer to an unstreamed request from the events of a stream."""

    def __init__(self) -> None:
        self._envelope: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}
        self._usage: dict[str, Any] | None = None
        self.complete = False
        self.size = 0  # in bytes, measured each time the events have doubled
        self._added_bytes = 0
        self._measured_at = FIRST_MEASURED_BYTES

    def add_event(self, event: bytes) -> None:
        """Add an event to the answer.

        :param event: complete event, including its blank line
        :raises UnreadableError: if the data of the event is no chunk of an answer
        """
        self._added_bytes += len(event)
        for line in event.split(b'\n'):
            if not line.startswith(DATA_PREFIX):
                continue
            data = line[len(DATA_PREFIX) :].strip()
            if data == DONE_MARKER:
                self.complete = True
            else:
                with decoding('event'):
                    self._add_chunk(require_object(decode_json(data)))
                    self._measure()

    def answer(self) -> dict[str, Any]:
        """Return the answer as a JSON object."""
        answer = dict(self._envelope)
        answer['object'] = _ANSWER_OBJECTS.get(
            answer.get('object', ''), answer.get('object')
        )
        answer['choices'] = [self._choices[index] for index in sorted(self._choices)]
        if self._usage is not None:
            answer['usage'] = self._usage
        return answer

    def _measure(self) -> None:
        """Measure the answer, which may be many times smaller than its events."""
        if self._added_bytes >= self._measured_at:
            self._measured_at = 2 * self._added_bytes
            self.size = len(json.dumps(self.answer()))

    def _add_chunk(self, chunk: dict[str, Any]) -> None:
        for key, value in chunk.items():
            if key not in ('choices', 'usage'):
                self._envelope.setdefault(key, value)
        self._usage = chunk.get('usage') or self._usage
        for choice in chunk.get('choices') or []:
            index = choice.get('index', 0)
            target = self._choices.setdefault(index, {'index': index})
            delta = choice.pop('delta', None)
            _merge(target, choice)
            if delta is not None:
                _merge(target.setdefault('message', {}), delta)


def is_final_event(event: bytes) -> bool:
    """Return whether an event marks the end of a complete stream.

    :param event: complete event, including its blank line
    """
    return event.startswith(DATA_PREFIX + DONE_MARKER)


def _merge(target: dict[str, Any], update: dict[str, Any]) -> None:
    """Merge the fields of a chunk in place, concatenating streamed texts."""
    for key, value in update.items():
        if value is None:
            target.setdefault(key, None)
        elif key in _CONCATENATED_FIELDS and isinstance(value, str):
            target[key] = (target.get(key) or '') + value
        elif isinstance(value, dict):
            nested = target.get(key) or {}
            _merge(nested, value)
            target[key] = nested
        elif isinstance(value, list):
            target[key] = _merge_list(target.get(key) or [], value)
        else:
            target[key] = value


def _merge_list(entries: list[Any], update: list[Any]) -> list[Any]:
    """Return both lists as one; entries with the same index are merged."""
    joined = list(entries)
    for entry in update:
        index = entry.get('index') if isinstance(entry, dict) else None
        found = [old for old in joined if index is not None and old['index'] == index]
        if found:
            _merge(found[0], entry)
        else:
            joined.append(entry)
    return joined
