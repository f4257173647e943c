"""Opening exchange of tunnels between hosts: one framed JSON message each way."""

from __future__ import annotations

import json
import struct
from typing import Any, NamedTuple

from rosemaryseam.common.decoding import decode_json
from rosemaryseam.common.errors import UnreadableError

MAX_MESSAGE_BYTES = 1024
_LENGTH = struct.Struct('>H')

OPEN = 'open'
PARTITIONED = 'partitioned'  # the relaying host cannot reach upstreams itself
CUT_OFF = 'cut-off'  # it may be cut off from this upstream, and reaches others
BUSY = 'busy'  # it has reached its limit
STOPPING = 'stopping'
UNKNOWN = 'unknown'  # the upstream is not in its registry
UNREACHABLE = 'unreachable'  # the upstream did not answer its connect
REFUSED = 'refused'  # the upstream refused its connect


class TunnelRequest(NamedTuple):
    """Names the incarnation and the address of the upstream to reach."""

    upstream: str
    born: int
    ip: str
    port: int


class TunnelReply(NamedTuple):
    """Tells whether the tunnel is open.

    ``zone`` is the relaying host's zone, ``free`` the number of tunnels that it could
    open besides.
    """

    result: str
    zone: str
    free: int


class TunnelProtocolError(OSError):
    """Raised for an opening message that is malformed."""


def send_message(sock: Any, message: TunnelRequest | TunnelReply) -> None:
    """Write an opening message.

    :param sock: socket of the tunnel
    :param message: message to write
    :raises OSError: the connection failed
    """
    data = json.dumps(message, separators=(',', ':')).encode()
    sock.sendall(_LENGTH.pack(len(data)) + data)


def read_request(sock: Any) -> TunnelRequest:
    """Read the message that opens a tunnel.

    :param sock: socket of the tunnel
    :raises OSError: the connection failed or the message is malformed
    """
    match _read(sock):
        case [str(upstream), int(born), str(ip), int(port)]:
            return TunnelRequest(upstream, born, ip, port)
    raise TunnelProtocolError('a tunnel request has an id, born, an ip and a port')


def read_reply(sock: Any) -> TunnelReply:
    """Read the answer to a tunnel request, and nothing that follows it.

    :param sock: socket of the tunnel
    :raises OSError: the connection failed or the message is malformed
    """
    match _read(sock):
        case [str(result), str(zone), int(free)]:
            return TunnelReply(result, zone, free)
    raise TunnelProtocolError('a tunnel reply has a result, a zone and a number')


def _read(sock: Any) -> Any:
    (length,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise TunnelProtocolError(f'{length} bytes are more than a message has')
    try:
        return decode_json(_read_exactly(sock, length))
    except UnreadableError as exc:
        raise TunnelProtocolError(f'a tunnel message: {exc.message}') from exc


def _read_exactly(sock: Any, size: int) -> bytes:
    data = b''
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            raise TunnelProtocolError('the connection ended in the opening message')
        data += part
    return data
