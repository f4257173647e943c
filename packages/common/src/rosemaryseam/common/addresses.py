"""IP addresses with ports, as processes are told them."""

from __future__ import annotations

import ipaddress
from typing import Annotated, NamedTuple

from pydantic import AfterValidator

MAX_PORT = 65535


class Address(NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :param text: an IPv4 or bracketed IPv6 number, a colon and a port
    :raises ValueError: the text is no such pair; host names are not accepted
    """
    ip, separator, port = text.rpartition(':')
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{text!r} is not an IP number and port, such as 10.0.0.1:80')
    try:
        number = ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        raise ValueError(f'{ip!r} is not an IP number') from None
    return Address(str(number), int(port))


def _check(text: str) -> str:
    return str(parse_address(text))


AddressText = Annotated[str, AfterValidator(_check)]
