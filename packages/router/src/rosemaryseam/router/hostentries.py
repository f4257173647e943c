"""Entries by which hosts register in the store."""

from __future__ import annotations

import ipaddress
import json

from rosemaryseam.common.decoding import decode_json, decoding, require_number
from rosemaryseam.common.errors import UnreadableError

HOSTS_PREFIX = 'rosemaryseam/hosts/'
MAX_CAPACITY = 1e6  # of a host, relative to others


def host_key(host: str) -> str:
    """Return the key of a host's entry.

    :param host: address of the host
    """
    return HOSTS_PREFIX + host


def encode_host_entry(port: int, capacity: float) -> bytes:
    """Return the value of a host's entry.

    :param port: port on which the host hears the other hosts
    :param capacity: capacity of the host, relative to others
    """
    return json.dumps({'port': port, 'capacity': capacity}).encode()


def decode_host_entry(host: str, value: bytes) -> float:
    """Return the capacity in a host's entry.

    :param host: address of the host, from the entry's key
    :param value: value of the entry
    :raises UnreadableError: the entry names no host
    """
    with decoding('host'):
        if str(ipaddress.IPv4Address(host)) != host:
            raise UnreadableError('the address is not in its usual form')
        return require_number(decode_json(value)['capacity'], most=MAX_CAPACITY)
