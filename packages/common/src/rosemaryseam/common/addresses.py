"""Parsing of IP addresses with ports, as settings and documents contain them."""

from __future__ import annotations

import ipaddress
from typing import Annotated, NamedTuple

from pydantic import AfterValidator

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :param text: an IPv4 or bracketed IPv6 address, a colon and a port
    :raises ValueError: the text is not an address and a port; host names are rejected
    """
    ip, separator, port = text.rpartition(':')
    if (
        not separator
        or not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS)
        or not 0 < int(port) <= MAX_PORT
    ):
        raise ValueError(f'{text!r} is not an IP address and port, such as 10.0.0.1:80')
    try:
        number = ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        raise ValueError(f'{ip!r} is not an IP address') from None
    if '%' in ip:
        raise ValueError(f'{ip!r} is an address on one link only')
    return Address(str(number), int(port))


def _normalize_address(text: str) -> str:
    return str(parse_address(text))


AddressText = Annotated[str, AfterValidator(_normalize_address)]
