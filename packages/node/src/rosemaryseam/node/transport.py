"""Transport of messages between hosts: frames over TCP with reconnection."""

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

FRAME_HEADER = struct.Struct('>I')
MAX_FRAME_BYTES = 8_000_000
MAX_FRAME_MESSAGES = 200
MAX_QUEUED_MESSAGES = 20_000  # per peer; further messages are dropped
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 1.0
RECEIVE_TIMEOUT_S = 5.0
REFUSED_RETRY_DELAY_S = 0.1  # pause of sending to a peer that refused a connection


class PeerRefusedConnection(NamedTuple):
    """Event: a peer's host refused a connection, so the peer's process has ended."""

    address: str


class Transport(abc.ABC):
    """Sends messages to hosts without any guarantee of delivery."""

    @abc.abstractmethod
    def send(self, host: str, message: Message) -> None:
        """Queue a message for a host.

        :param host: name of the receiving host, which may be this host
        :param message: message to send
        """

    @abc.abstractmethod
    def send_to_address(self, address: str, message: Message) -> None:
        """Queue a message for an address whose host is not known yet.

        :param address: IP address and port of the peer
        :param message: message to send
        """

    @abc.abstractmethod
    def register(self, host: str, address: str) -> None:
        """Record the peer address of a host.

        :param host: name of the host
        :param address: IP address and port on which it accepts peer connections
        """

    @abc.abstractmethod
    def reset(self, address: str) -> None:
        """Close the connection to an address; the next message opens a new one.

        :param address: IP address and port of the peer
        """


class TcpTransport(Transport):
    """Transport with one outgoing TCP connection per peer.

    Incoming connections are only read from.

    :param host: name of this host
    :param incarnation: incarnation number of this process
    :param deliver: called with each :class:`.messages.Received`
    :param on_refused: called with each :class:`PeerRefusedConnection`
    :param metrics: metrics of this process
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        deliver: Callable[[Received], None],
        on_refused: Callable[[PeerRefusedConnection], None],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._deliver = deliver
        self._on_refused = on_refused
        self._metrics = metrics
        self._addresses: dict[str, str] = {}
        self._source_address: tuple[str, int] | None = None
        self._connections: dict[str, _PeerConnection] = {}
        self._server: StreamServer | None = None

    def listen(self, address: Address) -> None:
        """Accept connections; outgoing ones use the same IP address as their source.

        :param address: address to listen on
        """
        self._source_address = (address.ip, 0)
        self._server = StreamServer(tuple(address), self._serve)
        self._server.start()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for connection in self._connections.values():
            connection.close()

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
        """Queue a message for the peer at an address."""
        connection = self._connections.get(address)
        if connection is None:
            connection = _PeerConnection(parse_address(address), self)
            self._connections[address] = connection
        connection.send(message)

    def register(self, host: str, address: str) -> None:
        """Record the peer address of a host."""
        self._addresses[host] = address

    def reset(self, address: str) -> None:
        """Close the connection to an address."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            self._metrics.count('peer_connections_reset')
            connection.close()

    def connect(self, address: Address) -> Any:
        """Open a connection to a peer.

        :param address: address of the peer
        :raises OSError: the connection cannot be established
        """
        return socket.create_connection(
            tuple(address),
            timeout=CONNECT_TIMEOUT_S,
            source_address=self._source_address,
        )

    def build_frame(self, messages: list[Message]) -> bytes:
        """Return the encoded frame of messages, with its length prefix."""
        data = encode_frame(Frame(self._host, self._incarnation, tuple(messages)))
        self._metrics.count('peer_bytes_sent', len(data))
        return FRAME_HEADER.pack(len(data)) + data

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self._metrics.count(name, **labels)

    def report_refused(self, address: Address) -> None:
        """Report that a peer's host refused the connection."""
        self._on_refused(PeerRefusedConnection(str(address)))

    def _serve(self, sock: Any, _address: Any) -> None:
        sock.settimeout(RECEIVE_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                self._receive_frame(sock)
        except (OSError, EOFError):
            self._metrics.count('peer_connections_lost')
        except PeerError:
            self._metrics.count('peer_frames_malformed')

    def _receive_frame(self, sock: Any) -> None:
        (size,) = FRAME_HEADER.unpack(_receive_bytes(sock, FRAME_HEADER.size))
        if size > MAX_FRAME_BYTES:
            raise PeerError(f'frame of {size} bytes exceeds the limit')
        frame = decode_frame(_receive_bytes(sock, size))
        for message in frame.messages:
            self._deliver(Received(frame.host, message))


class _PeerConnection:
    """Outgoing connection to one address, with its queue of messages."""

    def __init__(self, address: Address, transport: TcpTransport) -> None:
        self._address = address
        self._transport = transport
        self._queue: Queue = Queue()
        self._socket: Any = None
        self._greenlet = gevent.spawn(self._run)
        self._watcher: gevent.Greenlet | None = None

    def send(self, message: Message) -> None:
        """Queue a message."""
        if self._queue.qsize() >= MAX_QUEUED_MESSAGES:
            self._transport.count('peer_messages_dropped', reason='queue_full')
            return
        self._queue.put(message)

    def close(self) -> None:
        """Close the connection and discard the queued messages."""
        gevent.killall([self._greenlet], block=False)
        self._close_socket()

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
            if self._socket is None:
                self._connect()
            self._socket.sendall(self._transport.build_frame(batch))
        except ConnectionRefusedError:
            self._close_socket()
            self._transport.report_refused(self._address)
            gevent.sleep(REFUSED_RETRY_DELAY_S)
        except OSError:
            self._close_socket()
            self._transport.count('peer_messages_dropped', reason='send_failed')

    def _connect(self) -> None:
        self._socket = self._transport.connect(self._address)
        self._socket.settimeout(SEND_TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watcher = gevent.spawn(self._watch_close, self._socket)

    def _watch_close(self, sock: Any) -> None:
        """Wait until the peer closes the connection, then probe its address.

        A refused probe shows that the peer's process has ended.
        """
        try:
            socket.wait_read(sock.fileno())
        except OSError:
            return
        if sock is self._socket:
            self._close_socket()
            self._probe()

    def _probe(self) -> None:
        try:
            probe = self._transport.connect(self._address)
        except ConnectionRefusedError:
            self._transport.report_refused(self._address)
        except OSError:
            self._transport.count('peer_probes_failed')
        else:
            probe.close()

    def _close_socket(self) -> None:
        if self._watcher is not None and self._watcher is not gevent.getcurrent():
            self._watcher.kill(block=False)
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _receive_bytes(sock: Any, size: int) -> bytes:
    parts = []
    while size:
        part = sock.recv(min(size, 65_536))
        if not part:
            raise EOFError
        parts.append(part)
        size -= len(part)
    return b''.join(parts)
