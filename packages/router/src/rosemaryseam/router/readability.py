"""Tells without waiting which sockets have something to read."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def readable_descriptors(descriptors: Iterable[int]) -> set[int]:
    """Return the descriptors with bytes to read, an error or a far end that closed.

    One call asks for all of them, as each one costs a switch to the kernel. Unlike
    with ``select``, descriptors may be above 1023.

    :param descriptors: descriptors of sockets; those of closed ones are negative
    """
    poller = select.poll()
    readable = set()
    for descriptor in descriptors:
        if descriptor < 0:
            readable.add(descriptor)
        else:
            poller.register(descriptor, select.POLLIN)
    return readable | {descriptor for descriptor, _ in poller.poll(0)}
