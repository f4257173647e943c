"""Opens the listening socket for callers before the rest of the program is imported.

Callers that connect while a host starts wait in the kernel's accept queue instead of
getting a connection refusal. Imports only the standard library's socket module, to
keep the import time short.
"""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 1024  # length of the accept queue, in connections
# Of each connection, of which the kernel takes twice as much. Bytes that are received
# and not read yet count towards the memory of the process.
RECEIVE_BUFFER_BYTES = 16_384


def listen_early(ip: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket from which nothing is accepted yet.

    :param ip: IPv4 address to bind
    :param port: TCP port on which callers connect
    :raises OSError: if the address cannot be bound
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((ip, port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
