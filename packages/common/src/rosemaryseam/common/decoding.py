"""Decodes data that another writer wrote, with one error for all that is unreadable.

Decoders of such data run inside :func:`decoding` and check each value that they use.
"""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.common.workfailures import describe_error

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

T = TypeVar('T')

MAX_COUNT = 2**53  # larger integers are not exact in all implementations of JSON
MAX_NUMBER = 1e15
MAX_TEXT_CHARS = 1000
MAX_DEPTH = 64  # levels of objects and lists in a JSON text
MAX_SHOWN_CHARS = 100  # of a value in the text of an error


@contextlib.contextmanager
def decoding(what: str) -> Iterator[None]:
    """Raise :class:`UnreadableError` for each error of a decoder.

    A decoder has no side effects, so that whatever it raises tells of its input.

    :param what: name of the data for the error's message
    """
    try:
        yield
    except UnreadableError as exc:
        raise UnreadableError(f'{what}: {exc.message}') from exc
    except Exception as exc:
        raise UnreadableError(f'{what}: {describe_error(exc)}') from exc


def readable(
    entries: Iterable[Any],
    decode: Callable[[Any], T],
    on_unreadable: Callable[[UnreadableError], None] = lambda _: None,
) -> Iterator[T]:
    """Yield the decoded entries of a list, without those that are unreadable.

    :param entries: entries to decode
    :param decode: decoder of one entry
    :param on_unreadable: called with the error of each entry that is left out
    """
    for entry in entries:
        try:
            with decoding('entry'):
                decoded = decode(entry)
        except UnreadableError as exc:
            on_unreadable(exc)
        else:
            yield decoded


def decode_json(data: bytes | str) -> Any:
    """Decode a JSON text, whose numbers must be finite.

    :param data: the text, in UTF-8 if it is bytes
    :raises UnreadableError: it is not JSON, or nested too deeply
    """
    with decoding('JSON'):
        text = data if isinstance(data, str) else data.decode()
        value = json.loads(text, parse_constant=_reject_constant)
        # The depth at which the parser gives up differs between its callers.
        if text.count('[') + text.count('{') > MAX_DEPTH:
            _check_depth(value)
        return value


def require_object(value: Any) -> dict[str, Any]:
    """Return a value after checking that it is an object.

    :param value: a value of a JSON document
    :raises UnreadableError: it is not
    """
    return value if isinstance(value, dict) else _reject(value, 'an object')


def require_list(value: Any) -> list[Any]:
    """Return a value after checking that it is a list.

    :param value: a value of a JSON document
    :raises UnreadableError: it is not
    """
    return value if isinstance(value, list) else _reject(value, 'a list')


def require_text(value: Any) -> str:
    """Return a value after checking that it is a text that fits in a header.

    :param value: a value of a JSON document
    :raises UnreadableError: it is not a string, is empty or too long, or has control
        characters, characters that cannot be encoded, or spaces at an end
    """
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= MAX_TEXT_CHARS
        or value != value.strip()
        or not value.isprintable()
    ):
        _reject(value, 'a non-empty printable string')
    return value


def require_optional_text(value: Any) -> str:
    """Return a value after checking that it is empty or a text that fits in a header.

    :param value: a value of a JSON document
    :raises UnreadableError: it is neither
    """
    return '' if value == '' else require_text(value)


def require_number(value: Any, most: float = MAX_NUMBER) -> float:
    """Return a value after checking that it is a number, 0 or more.

    :param value: a value of a JSON document
    :param most: largest number that is allowed
    :raises UnreadableError: it is not a number, or out of range
    """
    if (
        not isinstance(value, int | float)
        or isinstance(value, bool)
        or not 0 <= value <= most
    ):
        _reject(value, f'a number from 0 to {most:g}')
    return value


def require_count(value: Any, least: int = 0, most: int = MAX_COUNT) -> int:
    """Return a value after checking that it is an integer in a range.

    :param value: a value of a JSON document
    :param least: smallest number that is allowed
    :param most: largest number that is allowed
    :raises UnreadableError: it is not an integer, or out of range
    """
    if (
        not isinstance(value, int)
        or isinstance(value, bool)
        or not least <= value <= most
    ):
        _reject(value, f'an integer from {least} to {most}')
    return value


def require_flag(value: Any) -> bool:
    """Return a value after checking that it is true or false.

    :param value: a value of a JSON document
    :raises UnreadableError: it is neither
    """
    return value if isinstance(value, bool) else _reject(value, 'true or false')


def _reject(value: Any, expected: str) -> NoReturn:
    shown = type(value).__name__
    if isinstance(value, str):
        shown = ascii(value[:MAX_SHOWN_CHARS])
    elif isinstance(value, float) or (isinstance(value, int) and abs(value) < 2**70):
        shown = repr(value)
    raise UnreadableError(f'{shown} is not {expected}')


def _check_depth(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        parents = [one for one in level if isinstance(one, dict | list)]
        level = [
            child
            for one in parents
            for child in (one.values() if isinstance(one, dict) else one)
        ]
        if not level:
            return
    raise UnreadableError(f'more than {MAX_DEPTH} levels')


def _reject_constant(text: str) -> NoReturn:
    raise UnreadableError(f'{text} is no JSON')
