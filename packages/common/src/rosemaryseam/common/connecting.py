"""Connects to numeric addresses without the resolver."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gevent import socket

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address


def connect_numeric(
    address: Address, timeout_s: float | None = None, source_ip: str | None = None
) -> Any:
    """Return a socket that is connected to a numeric address.

    gevent resolves even numeric addresses in a few threads, which a busy process
    rarely runs; no timeout covers the wait for them. Names are still resolved.

    :param address: address to connect to
    :param timeout_s: timeout in seconds, which the socket keeps, ``None`` for none
    :param source_ip: numeric address to connect from, ``None`` for any
    :raises OSError: no connection was established
    """
    family = socket.AF_INET6 if ':' in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        if source_ip is not None:
            sock.bind((source_ip, 0))
        sock.connect(tuple(address))
    except BaseException:
        sock.close()
        raise
    return sock
