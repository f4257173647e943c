"""Validates YAML documents into named tuples and reports errors with line numbers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import yaml
from pydantic import TypeAdapter, ValidationError

if TYPE_CHECKING:
    from collections.abc import Sequence

T = TypeVar('T')

Path = tuple[str | int, ...]


class Fault(NamedTuple):
    """An error in a document: its key as a dotted path, its message and its line."""

    key: str
    message: str
    line: int

    def __str__(self) -> str:
        return f'line {self.line}: {self.key}: {self.message}'


class Document(NamedTuple):
    """A parsed YAML document with the line number of each key."""

    data: Any
    lines: dict[Path, int]

    def line(self, path: Sequence[str | int]) -> int:
        """Return the line of a path, or of its nearest ancestor that has one.

        :param path: keys and list indexes from the root
        """
        key = tuple(path)
        while key not in self.lines and key:
            key = key[:-1]
        return self.lines.get(key, 1)

    def fault(self, path: Sequence[str | int], message: str) -> Fault:
        """Return a fault at a path.

        :param path: keys and list indexes from the root
        :param message: description of the fault in one line
        """
        return Fault(format_path(path), message, self.line(path))


class DocumentFaultsError(Exception):
    """Raised when a document is not valid YAML or does not match its schema.

    :param faults: all faults found
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


def parse_document(text: str) -> Document:
    """Parse a YAML document.

    :param text: text of the document
    :raises DocumentFaultsError: the text is not valid YAML, or repeats a key
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
        data = yaml.load(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as exc:
        raise DocumentFaultsError([_syntax_fault(exc)]) from exc
    lines: dict[Path, int] = {}
    if node is not None:
        _record_lines(node, (), lines)
    return Document(data, lines)


def validate_document(document: Document, schema: type[T]) -> T:
    """Validate a parsed document and return it as a named tuple.

    :param document: the parsed document
    :param schema: the named tuple class that declares keys, types and bounds
    :raises DocumentFaultsError: keys are unknown or missing, or values are invalid
    """
    try:
        return TypeAdapter(schema).validate_python(document.data or {})
    except ValidationError as exc:
        faults = [
            document.fault(error['loc'], _format_message(error))
            for error in exc.errors()
        ]
        raise DocumentFaultsError(faults) from exc


def to_json(value: Any) -> bytes:
    """Encode named tuples as JSON objects, so that keys can be added to stored data.

    :param value: a named tuple of JSON types and further named tuples
    """
    return json.dumps(_to_json_types(value)).encode()


def format_path(path: Sequence[str | int]) -> str:
    """Return a path in dotted form.

    :param path: keys and list indexes from the root
    """
    return '.'.join(str(part) for part in path) or 'document'


def _to_json_types(value: Any) -> Any:
    if hasattr(value, '_asdict'):
        return {key: _to_json_types(item) for key, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_to_json_types(item) for item in value]
    return value


def _format_message(error: Any) -> str:
    if error['type'] in ('extra_forbidden', 'unexpected_keyword_argument'):
        return 'unknown key'
    if error['type'] in ('missing', 'missing_argument'):
        return 'required key is missing'
    return error['msg'].removeprefix('Value error, ')


def _syntax_fault(exc: yaml.YAMLError) -> Fault:
    mark = getattr(exc, 'problem_mark', None)
    line = mark.line + 1 if mark is not None else 1
    problem = getattr(exc, 'problem', None) or 'not valid YAML'
    return Fault('document', str(problem), line)


def _record_lines(node: yaml.Node, path: Path, lines: dict[Path, int]) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        _record_mapping(node, path, lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _record_lines(child, (*path, index), lines)


def _record_mapping(node: yaml.MappingNode, path: Path, lines: dict[Path, int]) -> None:
    for key_node, value_node in node.value:
        child = (*path, str(key_node.value))
        if child in lines:
            line = key_node.start_mark.line + 1
            raise DocumentFaultsError([Fault(format_path(child), 'repeated key', line)])
        lines[child] = key_node.start_mark.line + 1
        _record_lines(value_node, child, lines)
