"""YAML documents validated into named tuples, with line numbers in errors."""

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
    """One thing that is wrong with a document."""

    key: str
    message: str
    line: int

    def __str__(self) -> str:
        return f'line {self.line}: {self.key}: {self.message}'


class Document(NamedTuple):
    """A parsed YAML text and the line of each of its keys."""

    data: Any
    lines: dict[Path, int]

    def line(self, path: Sequence[str | int]) -> int:
        """Return the line of a path, or of its nearest parent that has one.

        :param path: keys and indexes from the root
        """
        key = tuple(path)
        while key not in self.lines and key:
            key = key[:-1]
        return self.lines.get(key, 1)

    def fault(self, path: Sequence[str | int], message: str) -> Fault:
        """Return a fault located at a path.

        :param path: keys and indexes from the root
        :param message: what is wrong, in one line
        """
        return Fault(dotted(path), message, self.line(path))


class DocumentFaultsError(Exception):
    """A document does not have the expected shape.

    :param faults: every fault that was found
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


def parse_document(text: str) -> Document:
    """Parse a YAML text.

    :param text: the document
    :raises DocumentFaultsError: the text is no YAML, or repeats a key
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


def validate_document(document: Document, shape: type[T]) -> T:
    """Turn a parsed document into a named tuple.

    :param document: the parsed document
    :param shape: the named tuple class that declares keys, types and bounds
    :raises DocumentFaultsError: keys are unknown, missing or of a wrong type
    """
    try:
        return TypeAdapter(shape).validate_python(document.data or {})
    except ValidationError as exc:
        faults = [
            document.fault(error['loc'], _plain_message(error))
            for error in exc.errors()
        ]
        raise DocumentFaultsError(faults) from exc


def to_json(value: Any) -> bytes:
    """Return named tuples as JSON objects, so that stored data can gain keys.

    :param value: a named tuple of JSON's types and further named tuples
    """
    return json.dumps(_plain(value)).encode()


def dotted(path: Sequence[str | int]) -> str:
    """Return a path in dotted form.

    :param path: keys and indexes from the root
    """
    return '.'.join(str(part) for part in path) or 'document'


def _plain(value: Any) -> Any:
    if hasattr(value, '_asdict'):
        return {key: _plain(item) for key, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    return value


def _plain_message(error: Any) -> str:
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
            raise DocumentFaultsError([Fault(dotted(child), 'repeated key', line)])
        lines[child] = key_node.start_mark.line + 1
        _record_lines(value_node, child, lines)
