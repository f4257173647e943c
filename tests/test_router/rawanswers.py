"""An HTTP server whose answers a test sets byte by byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class RawServer:
    """Answers each request with the same body and headers."""

    def __init__(self) -> None:
        self.body = b''
        self.status = '200 OK'
        self.headers: list[tuple[str, str]] = []
        self._server = HttpServer(
            Address('127.0.0.1', 0), self._answer, ServerTimeouts()
        )
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def _answer(self, environ: object, start: Callable) -> Iterable[bytes]:
        start(self.status, [*self.headers, ('Content-Length', str(len(self.body)))])
        return [self.body]
