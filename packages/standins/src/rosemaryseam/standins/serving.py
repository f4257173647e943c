"""Server, flags and control endpoint that all stand-ins share."""

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

_LISTEN = flags.DEFINE_string('listen', '127.0.0.1:0', 'Address to listen on.')


class ControlResource:
    """Sets faults from a JSON object and returns the counters of the stand-in.

    :param apply: function that takes the posted object
    :param show: function that returns the counters
    """

    def __init__(
        self,
        apply: Callable[[dict[str, Any]], None],
        show: Callable[[], dict[str, Any]],
    ) -> None:
        self._apply = apply
        self._show = show

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the counters."""
        resp.media = self._show()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Set faults and return the counters."""
        self._apply(req.get_media())
        resp.media = self._show()


def serve(application: falcon.App, listen: str) -> HttpServer:
    """Start a server and return it.

    :param application: the WSGI application
    :param listen: IP number and port to listen on
    """
    address = parse_address(listen)
    server = HttpServer(address, application, ServerTimeouts())
    server.start()
    return server


def main(build: Callable[[], falcon.App]) -> None:
    """Run a stand-in until SIGTERM.

    :param build: function that makes the application after the flags are parsed
    """

    def run(argv: list[str]) -> None:
        stop = gevent.event.Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        server = serve(build(), _LISTEN.value)
        stop.wait()
        server.stop(timeout=0.1)

    app.run(run)
