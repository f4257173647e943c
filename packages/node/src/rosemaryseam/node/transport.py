"""Connections between hosts: frames over TCP, replaced when they fail."""

from __future__ import annotations

import abc
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent import socket
from gevent.queue import Empty, Queue
from gevent.server import StreamServer

from rosemaryseam.common.addresses import Address, parse_address
from rosemaryseam.common.errors import PeerError
from rosemaryseam.node.codec import Frame, decode_frame, encode_frame
from rosemaryseam.node.messages import Received

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.messages import Message

HEADER = struct.Struct('>I')
MAX_FRAME_BYTES = 8_000_000
MAX_FRAME_MESSAGES = 200
MAX_QUEUED_MESSAGES = 20_000
DIAL_S = 0.5
SEND_S = 1.0
RECEIVE_S = 5.0
REDIAL_S = 0.1


class PeerRefusedConnection(NamedTuple):
    """A peer's machine refused the connection: its process has ended."""

    address: str


class Transport(abc.ABC):
    """Delivers messages to hosts, without a promise that they arrive."""

    @abc.abstractmethod
    def send(self, host: str, message: Message) -> None:
        """Queue a message for a host.

        :param host: the addressee, this host included
        :param message: what to deliver
        """

    @abc.abstractmethod
    def send_to_address(self, address: str, message: Message) -> None:
        """Queue a message for an address whose host is not known yet.

        :param address: IP number and port
        :param message: what to deliver
        """

    @abc.abstractmethod
    def register(self, host: str, address: str) -> None:
        """Note where a host listens.

        :param host: the host
        :param address: IP number and port
        """

    @abc.abstractmethod
    def reset(self, address: str) -> None:
        """Replace the connection to an address.

        :param address: IP number and port
        """


class TcpTransport(Transport):
    """One outgoing connection to each peer; incoming ones are only read.

    :param host: this host's name
    :param incarnation: of this process
    :param deliver: takes each :class:`.messages.Received`
    :param refused: takes each :class:`PeerRefusedConnection`
    :param metrics: the process's counters
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        deliver: Callable[[Received], None],
        refused: Callable[[PeerRefusedConnection], None],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._deliver = deliver
        self._refused = refused
        self._metrics = metrics
        self._addresses: dict[str, str] = {}
        self._source: tuple[str, int] | None = None
        self._links: dict[str, _Link] = {}
        self._server: StreamServer | None = None

    def listen(self, address: Address) -> None:
        """Accept connections; dial out from the same IP number.

        :param address: where to listen
        """
        self._source = (address.ip, 0)
        self._server = StreamServer(tuple(address), self._serve)
        self._server.start()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in self._links.values():
            link.close()

    def send(self, host: str, message: Message) -> None:
        """Queue a message for a host."""
        if host == self._host:
            self._deliver(Received(host, message))
            return
        address = self._addresses.get(host)
        if address is None:
            self._metrics.count('peer_messages_dropped', reason='unknown_host')
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Queue a message for an address."""
        link = self._links.get(address)
        if link is None:
            link = _Link(parse_address(address), self)
            self._links[address] = link
        link.send(message)

    def register(self, host: str, address: str) -> None:
        """Note where a host listens."""
        self._addresses[host] = address

    def reset(self, address: str) -> None:
        """Replace the connection to an address."""
        link = self._links.pop(address, None)
        if link is not None:
            self._metrics.count('peer_connections_reset')
            link.close()

    def dial(self, address: Address) -> Any:
        """Open a connection to a peer.

        :param address: of the peer
        :raises OSError: the peer cannot be reached
        """
        return socket.create_connection(
            tuple(address), timeout=DIAL_S, source_address=self._source
        )

    def frame(self, messages: list[Message]) -> bytes:
        """Return the bytes of a frame from this process."""
        data = encode_frame(Frame(self._host, self._incarnation, tuple(messages)))
        self._metrics.count('peer_bytes_sent', len(data))
        return HEADER.pack(len(data)) + data

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self._metrics.count(name, **labels)

    def report_refused(self, address: Address) -> None:
        """Tell that a peer's process has ended."""
        self._refused(PeerRefusedConnection(str(address)))

    def _serve(self, sock: Any, _address: Any) -> None:
        sock.settimeout(RECEIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                self._receive_frame(sock)
        except (OSError, EOFError):
            self._metrics.count('peer_connections_lost')
        except PeerError:
            self._metrics.count('peer_frames_malformed')

    def _receive_frame(self, sock: Any) -> None:
        (size,) = HEADER.unpack(_receive(sock, HEADER.size))
        if size > MAX_FRAME_BYTES:
            raise PeerError(f'a frame of {size} bytes')
        frame = decode_frame(_receive(sock, size))
        for message in frame.messages:
            self._deliver(Received(frame.host, message))


class _Link:
    """The outgoing connection to one address."""

    def __init__(self, address: Address, transport: TcpTransport) -> None:
        self._address = address
        self._transport = transport
        self._queue: Queue = Queue()
        self._sock: Any = None
        self._greenlet = gevent.spawn(self._run)
        self._reader: gevent.Greenlet | None = None

    def send(self, message: Message) -> None:
        """Queue a message."""
        if self._queue.qsize() >= MAX_QUEUED_MESSAGES:
            self._transport.count('peer_messages_dropped', reason='queue_full')
            return
        self._queue.put(message)

    def close(self) -> None:
        """Close the connection and forget what is queued."""
        gevent.killall([self._greenlet], block=False)
        self._drop()

    def _run(self) -> None:
        while True:
            batch = [self._queue.get()]
            while len(batch) < MAX_FRAME_MESSAGES:
                try:
                    batch.append(self._queue.get_nowait())
                except Empty:
                    break
            self._write(batch)

    def _write(self, batch: list[Message]) -> None:
        try:
            if self._sock is None:
                self._dial()
            self._sock.sendall(self._transport.frame(batch))
        except ConnectionRefusedError:
            self._drop()
            self._transport.report_refused(self._address)
            gevent.sleep(REDIAL_S)
        except OSError:
            self._drop()
            self._transport.count('peer_messages_dropped', reason='send_failed')

    def _dial(self) -> None:
        self._sock = self._transport.dial(self._address)
        self._sock.settimeout(SEND_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = gevent.spawn(self._watch, self._sock)

    def _watch(self, sock: Any) -> None:
        """Notice that the peer closed, and dial again to learn why."""
        try:
            socket.wait_read(sock.fileno())
        except OSError:
            return
        if sock is self._sock:
            self._drop()
            self._probe()

    def _probe(self) -> None:
        try:
            probe = self._transport.dial(self._address)
        except ConnectionRefusedError:
            self._transport.report_refused(self._address)
        except OSError:
            self._transport.count('peer_probes_failed')
        else:
            probe.close()

    def _drop(self) -> None:
        if self._reader is not None and self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _receive(sock: Any, size: int) -> bytes:
    parts = []
    while size:
        part = sock.recv(min(size, 65_536))
        if not part:
            raise EOFError
        parts.append(part)
        size -= len(part)
    return b''.join(parts)
