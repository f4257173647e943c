"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import NamedTuple

RESET = struct.pack('ii', 1, 0)


class Request(NamedTuple):
    """A request as a server read it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer as a client read it; ``complete`` is false if it ended early."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, ``None`` at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, ``None`` at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(' ', 2)
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''.join([part async for part in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield data


def encode_answer(status: int, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return the bytes of an answer; without a body, its chunks follow."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body is None:
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


def encode_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk; empty data ends the body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def send_request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer | None:
    """Send one request on a connection of its own; ``None`` without an answer."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    data = '\r\n'.join([*lines, '', '']).encode('latin-1') + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                return None
            status, fields = int(head[0].split(' ')[1]), head[1]
            parts: list[bytes] = []
            try:
                if fields.get('transfer-encoding', '').lower() == 'chunked':
                    async for part in read_chunks(reader):
                        parts.append(part)
                elif 'content-length' in fields:
                    parts.append(
                        await reader.readexactly(int(fields['content-length']))
                    )
                else:
                    parts.append(await reader.read())
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Answer(status, fields, b''.join(parts), False)
            return Answer(status, fields, b''.join(parts), True)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
