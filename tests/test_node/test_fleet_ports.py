"""Tests that the ports of test fleets cannot be taken by outgoing connections."""

from __future__ import annotations

import itertools
import socket
from typing import TYPE_CHECKING

import fleet
from fleet import free_ports

if TYPE_CHECKING:
    import pytest


def test_ports_differ_and_are_below_the_ephemeral_range() -> None:
    ports = free_ports(20) + free_ports(20)
    assert len(set(ports)) == 40
    with open('/proc/sys/net/ipv4/ip_local_port_range', encoding='ascii') as file:
        first_ephemeral = int(file.read().split()[0])
    assert max(ports) < first_ephemeral


def test_a_port_that_any_loopback_address_uses_is_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    used, free = free_ports(2)
    monkeypatch.setattr(fleet, '_PORTS', itertools.cycle([used, free]))
    with socket.socket() as sock:
        sock.bind(('127.0.1.3', used))
        assert free_ports(1) == [free]
