"""What every stand-in shares: its server, its flags and its control endpoint."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import gevent
from absl import app, flags

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts

if TYPE_CHECKING:
    from collections.abc import Callable

    import falcon

_LISTEN = flags.DEFINE_string('listen', '127.0.0.1:0', 'IP number and port to serve.')


class ControlResource:
    """Takes faults as a JSON object and shows what the stand-in has counted.

    :param apply: takes the object that was posted
    :param show: returns the object to show
    """

    def __init__(
        self,
        apply: Callable[[dict[str, Any]], None],
        show: Callable[[], dict[str, Any]],
    ) -> None:
        self._apply = apply
        self._show = show

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show the counters."""
        resp.media = self._show()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Set faults."""
        self._apply(req.get_media())
        resp.media = self._show()


def serve(application: falcon.App, listen: str) -> HttpServer:
    """Start a server and return it.

    :param application: the WSGI application
    :param listen: IP number and port
    """
    address = parse_address(listen)
    server = HttpServer(address, application, ServerTimeouts())
    server.start()
    return server


def main(build: Callable[[], falcon.App]) -> None:
    """Run a stand-in until SIGTERM.

    :param build: makes the application after the flags are parsed
    """

    def run(argv: list[str]) -> None:
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        server = serve(build(), _LISTEN.value)
        stop.wait()
        server.stop(timeout=0.1)

    app.run(run)
