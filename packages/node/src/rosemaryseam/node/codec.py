"""Frames of messages in Cap'n Proto's form."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Any, NamedTuple, get_args, get_type_hints

import capnp

from rosemaryseam.common.errors import PeerError
from rosemaryseam.node import messages

if TYPE_CHECKING:
    from collections.abc import Sequence

capnp.remove_import_hook()
_WIRE = capnp.load(str(pathlib.Path(__file__).with_name('wire.capnp')))

MAX_WORDS = 4_000_000  # bound on what a hostile frame can make the reader visit


class Frame(NamedTuple):
    """Messages of one sender that travel together."""

    host: str
    incarnation: int
    messages: tuple[messages.Message, ...]


class _Field(NamedTuple):
    name: str
    wire_name: str
    struct: type | None
    is_list: bool


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame.

    :param frame: the frame
    """
    builder = _WIRE.Frame.new_message(host=frame.host, incarnation=frame.incarnation)
    entries = builder.init('messages', len(frame.messages))
    for index, message in enumerate(frame.messages):
        _fill(entries[index].init(_KINDS[type(message)]), message)
    return builder.to_bytes()


def decode_frame(data: bytes) -> Frame:
    """Parse a frame.

    :param data: what :func:`encode_frame` made
    :raises PeerError: the bytes are no such frame
    """
    try:
        with _WIRE.Frame.from_bytes(data, traversal_limit_in_words=MAX_WORDS) as reader:
            entries = tuple(_read_message(entry) for entry in reader.messages)
            return Frame(reader.host, reader.incarnation, entries)
    except (capnp.KjException, UnicodeDecodeError, KeyError, ValueError) as exc:
        raise PeerError('malformed frame') from exc


def _camel(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(part.capitalize() for part in rest)


def _plan(struct: type) -> tuple[_Field, ...]:
    fields = []
    for name, hint in get_type_hints(struct).items():
        is_list = getattr(hint, '__origin__', None) is tuple
        inner = get_args(hint)[0] if is_list else hint
        nested = inner if hasattr(inner, '_fields') else None
        fields.append(_Field(name, _camel(name), nested, is_list))
    return tuple(fields)


def _struct_types() -> list[type]:
    return [value for value in vars(messages).values() if hasattr(value, '_fields')]


_PLANS = {struct: _plan(struct) for struct in _struct_types()}
_KINDS = {
    struct: struct.__name__[0].lower() + struct.__name__[1:]
    for struct in get_args(messages.Message)
}
_TYPES = {kind: struct for struct, kind in _KINDS.items()}


def _fill(builder: Any, value: Any) -> None:
    for field in _PLANS[type(value)]:
        item = getattr(value, field.name)
        if field.struct is None:
            setattr(builder, field.wire_name, list(item) if field.is_list else item)
        elif field.is_list:
            _fill_list(builder.init(field.wire_name, len(item)), item)
        else:
            _fill(builder.init(field.wire_name), item)


def _fill_list(entries: Any, items: Sequence[Any]) -> None:
    for index, item in enumerate(items):
        _fill(entries[index], item)


def _read_message(entry: Any) -> messages.Message:
    kind = entry.which()
    return _read(getattr(entry, str(kind)), _TYPES[str(kind)])


def _read(reader: Any, struct: type) -> Any:
    values = []
    for field in _PLANS[struct]:
        item = getattr(reader, field.wire_name)
        if field.struct is not None and field.is_list:
            item = tuple(_read(entry, field.struct) for entry in item)
        elif field.struct is not None:
            item = _read(item, field.struct)
        elif field.is_list:
            item = tuple(item)
        values.append(item)
    return struct(*values)
