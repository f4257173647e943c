"""Fixtures for the tests of the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from routers import RunningRouter

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def router() -> Iterator[RunningRouter]:
    """Yield a running router without upstreams."""
    running = RunningRouter()
    running.start()
    yield running
    running.stop()
