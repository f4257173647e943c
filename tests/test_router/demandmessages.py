"""Messages of the demand at a host."""

from __future__ import annotations

from typing import Any


def message(number: int, prefill: float, incarnation: int = 1) -> dict[str, Any]:
    """Return a message of a host's demand."""
    ranks = [[0, 10.0, prefill * 0.3, 0.0, 0.0], [1, 20.0, prefill * 0.7, 0.0, 0.0]]
    services = {'work': ranks}
    return {'incarnation': incarnation, 'number': number, 'services': services}
