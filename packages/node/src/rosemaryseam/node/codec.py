"""Encoding of frames of peer messages in Cap'n Proto."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, Any, NamedTuple, get_args, get_type_hints

import capnp

from rosemaryseam.common.decoding import decoding
from rosemaryseam.common.errors import PeerError, UnreadableError
from rosemaryseam.node import messages

if TYPE_CHECKING:
    from collections.abc import Sequence

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('wire.capnp')))

MAX_TRAVERSAL_WORDS = 4_000_000  # bounds the decoding work of a malicious frame


class Frame(NamedTuple):
    """Messages of one sender that are sent together."""

    host: str
    incarnation: int
    messages: tuple[messages.Message, ...]


class _Field(NamedTuple):
    name: str
    wire_name: str
    struct: type | None
    is_list: bool


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame.

    :param frame: frame to encode
    """
    builder = _SCHEMA.Frame.new_message(host=frame.host, incarnation=frame.incarnation)
    entries = builder.init('messages', len(frame.messages))
    for index, message in enumerate(frame.messages):
        _write_struct(entries[index].init(_UNION_TAGS[type(message)]), message)
    return builder.to_bytes()


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    :param data: output of :func:`encode_frame` of a peer
    :raises PeerError: the data is malformed
    """
    try:
        with (
            decoding('frame'),
            _SCHEMA.Frame.from_bytes(
                data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
            ) as reader,
        ):
            entries = tuple(_read_message(entry) for entry in reader.messages)
            return Frame(reader.host, reader.incarnation, entries)
    except UnreadableError as exc:
        raise PeerError('malformed frame') from exc


def _to_camel_case(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(part.capitalize() for part in rest)


def _list_fields(struct: type) -> tuple[_Field, ...]:
    fields = []
    for name, hint in get_type_hints(struct).items():
        is_list = getattr(hint, '__origin__', None) is tuple
        inner = get_args(hint)[0] if is_list else hint
        nested = inner if hasattr(inner, '_fields') else None
        fields.append(_Field(name, _to_camel_case(name), nested, is_list))
    return tuple(fields)


def _struct_types() -> list[type]:
    return [value for value in vars(messages).values() if hasattr(value, '_fields')]


_FIELDS = {struct: _list_fields(struct) for struct in _struct_types()}
_UNION_TAGS = {
    struct: struct.__name__[0].lower() + struct.__name__[1:]
    for struct in get_args(messages.Message)
}
_TYPES_BY_TAG = {tag: struct for struct, tag in _UNION_TAGS.items()}


def _write_struct(builder: Any, value: Any) -> None:
    for field in _FIELDS[type(value)]:
        item = getattr(value, field.name)
        if field.struct is None:
            setattr(builder, field.wire_name, list(item) if field.is_list else item)
        elif field.is_list:
            _write_struct_list(builder.init(field.wire_name, len(item)), item)
        else:
            _write_struct(builder.init(field.wire_name), item)


def _write_struct_list(entries: Any, items: Sequence[Any]) -> None:
    for index, item in enumerate(items):
        _write_struct(entries[index], item)


def _read_message(entry: Any) -> messages.Message:
    tag = entry.which()
    return _read_struct(getattr(entry, str(tag)), _TYPES_BY_TAG[str(tag)])


def _read_struct(reader: Any, struct: type) -> Any:
    values = []
    for field in _FIELDS[struct]:
        item = getattr(reader, field.wire_name)
        if field.struct is not None and field.is_list:
            item = tuple(_read_struct(entry, field.struct) for entry in item)
        elif field.struct is not None:
            item = _read_struct(item, field.struct)
        elif field.is_list:
            item = tuple(item)
        values.append(item)
    return struct(*values)
