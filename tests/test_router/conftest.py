"""Fixtures of the router's tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from routers import RunningRouter

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def router() -> Iterator[RunningRouter]:
    """A running router without upstreams."""
    running = RunningRouter()
    running.start()
    yield running
    running.stop()
