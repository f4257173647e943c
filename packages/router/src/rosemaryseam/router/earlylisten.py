"""Opens the callers' port before the rest of the program is loaded.

Callers that connect while a host starts wait in the port's queue, instead of being
turned away. Imports only the standard library's sockets, to be quick.
"""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 1024  # connections that wait to be accepted


def listen_early(ip: str, port: int) -> socket.socket:
    """Return a socket that listens; nothing accepts from it yet.

    :param ip: IP number
    :param port: of the callers
    :raises OSError: the address cannot be used
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
