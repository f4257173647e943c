"""Callers that do not behave, and what they make a process hold."""

from __future__ import annotations

import contextlib
import itertools
import pathlib
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent import socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SAMPLE_INTERVAL_S = 0.05  # between two looks at a process
READ_BYTES = 65_536
_LISTENING = '0A'  # state of a socket in the kernel's table
PART_BYTES = 65_536  # sent at a time
CONNECT_TIMEOUT_S = 10.0
ORDINARY_TRIES = 12
ORDINARY_TIMEOUT_S = 5.0  # of one try
ORDINARY_PAUSE_S = 1.0  # before the next one


class Crowd(NamedTuple):
    """Connections that all send the same.

    ``script`` yields the bytes that a connection sends, ``None`` to send nothing for a
    while. With ``reads`` the callers read what is sent to them. With ``leaves`` they
    close after the script, else they stay. With ``returns`` they connect again at once
    when they were closed.
    """

    callers: int
    script: Callable[[], Iterator[bytes | None]]
    reads: bool = True
    leaves: bool = False
    returns: bool = False


class Outcome:
    """What became of one connection of a crowd."""

    def __init__(self) -> None:
        self.received = b''  # the first bytes of all answers
        self.sent_bytes = 0
        self.sent_after_answer = 0
        self.closed = False  # by the process
        self.finished = False  # all of the script was sent

    @property
    def status(self) -> int:
        """The status of the first answer, 0 if there was none."""
        parts = self.received.split(b' ', 2)
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


class RunningCrowd:
    """A crowd with its open connections.

    :param crowd: what the connections send
    :param address: IP address and port of the process
    """

    def __init__(self, crowd: Crowd, address: tuple[str, int]) -> None:
        self._crowd = crowd
        self._address = address
        self.outcomes = [Outcome() for _ in range(crowd.callers)]
        self._socks: set[Any] = set()
        self._greenlets = [gevent.spawn(self._run, one) for one in self.outcomes]

    def wait_sent(self, timeout_s: float) -> None:
        """Wait until all connections sent everything or were closed.

        :param timeout_s: longest wait, after which the crowd goes on sending
        """
        with gevent.Timeout(timeout_s, False):
            while not all(one.finished or one.closed for one in self.outcomes):
                gevent.sleep(SAMPLE_INTERVAL_S)

    def stop(self) -> None:
        """Close all connections."""
        gevent.killall(self._greenlets)
        for sock in self._socks:
            sock.close()

    def _run(self, outcome: Outcome) -> None:
        self._run_once(outcome)
        while self._crowd.returns:
            gevent.sleep(0)
            self._run_once(outcome)

    def _run_once(self, outcome: Outcome) -> None:
        sock = reader = None
        try:
            sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
            self._socks.add(sock)
            sock.settimeout(None)
            if self._crowd.reads:
                reader = gevent.spawn(self._read, sock, outcome)
            for part in self._crowd.script():
                self._send(sock, part, outcome)
            outcome.finished = True
            if self._crowd.leaves:
                sock.close()
            elif reader is not None:
                reader.join()
        except OSError:
            outcome.closed = True
        finally:
            if reader is not None:
                reader.kill()
            if sock is not None and self._crowd.returns:
                self._socks.discard(sock)
                sock.close()

    def _send(self, sock: Any, part: bytes | None, outcome: Outcome) -> None:
        if part is None:
            gevent.sleep(0.2)
            return
        view = memoryview(part)
        while view:
            sent = sock.send(view[:PART_BYTES])
            outcome.sent_bytes += sent
            outcome.sent_after_answer += sent if outcome.received else 0
            view = view[sent:]
        gevent.sleep(0)

    def _read(self, sock: Any, outcome: Outcome) -> None:
        try:
            while data := sock.recv(READ_BYTES):
                outcome.received = (outcome.received + data)[:READ_BYTES]
        except OSError:
            pass
        outcome.closed = True


class ProcessWatch:
    """Records the most memory and descriptors that a process held.

    Memory is that of the process and the bytes that it received and has not read.

    :param pid: id of the process
    """

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f'/proc/{pid}')
        self._most_sampled = 0
        self.most_descriptors = 0
        self._greenlet = gevent.spawn(self._run)

    @property
    def most_bytes(self) -> int:
        """The most memory so far, in bytes."""
        return max(self._most_sampled, self._memory('VmHWM'))

    def stop(self) -> None:
        """Stop to sample."""
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError):  # the process ended, or a file closed
                self._sample()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        links = [link.readlink().name for link in (self._folder / 'fd').iterdir()]
        self.most_descriptors = max(self.most_descriptors, len(links))
        sockets = {link[8:-1] for link in links if link.startswith('socket:[')}
        held = self._memory('VmRSS') + self._unread_bytes(sockets)
        self._most_sampled = max(self._most_sampled, held)

    def _memory(self, field: str) -> int:
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) * 1024
        return 0

    def _unread_bytes(self, sockets: set[str]) -> int:
        """Return the bytes in the receive buffers of sockets.

        :param sockets: inode numbers
        """
        total = 0
        for line in (self._folder / 'net' / 'tcp').read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in sockets and fields[3] != _LISTENING:
                total += int(fields[4].split(':')[1], 16)
        return total


def ask(address: tuple[str, int], request: bytes) -> bytes:
    """Send one request on a new connection and return its whole answer.

    A caller comes back after a refusal that says that the request did not run, and
    after a connection that ended without an answer.

    :param address: IP address and port of the process
    :param request: bytes of the request, which asks to close the connection
    :returns: the last answer, empty if there was none
    """
    answer = b''
    for _ in range(ORDINARY_TRIES):
        answer = _try(address, request)
        if answer and answer.split(b' ', 2)[1] not in (b'408', b'429', b'503'):
            return answer
        gevent.sleep(ORDINARY_PAUSE_S)
    return answer


def _try(address: tuple[str, int], request: bytes) -> bytes:
    answer = b''
    try:
        with (
            gevent.Timeout(ORDINARY_TIMEOUT_S),
            socket.create_connection(address) as sock,
        ):
            sock.sendall(request)
            while data := sock.recv(READ_BYTES):
                answer += data
    except (OSError, gevent.Timeout):
        return answer
    return answer


# What connections send.


def whole(head: bytes, size: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a request with a body of a size in bytes."""
    return lambda: iter((_with_length(head, size), bytes(size)))


def unfinished(head: bytes, size: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends all of a body but its last byte."""
    return lambda: iter((_with_length(head, size), bytes(size - 1)))


def unfinished_chunks(
    head: bytes, size: int, chunk: int = 16_384
) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a body in chunks without its end."""
    one = f'{chunk:x}\r\n'.encode() + bytes(chunk) + b'\r\n'
    return lambda: iter((_chunked(head), one * (size // chunk)))


def dripped(head: bytes, size: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a body up to its last ten bytes, then one by one."""

    def script() -> Iterator[bytes | None]:
        yield _with_length(head, size)
        yield bytes(size - 10)
        for _ in range(9):
            yield from (None,) * 15
            yield b'x'

    return script


def flood(head: bytes, announced: int | None) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a body without end.

    :param announced: length that the head states, ``None`` to send chunks
    """
    part = bytes(PART_BYTES)

    def script() -> Iterator[bytes | None]:
        if announced is None:
            yield _chunked(head)
            yield from itertools.repeat(b'%x\r\n%s\r\n' % (len(part), part))
        else:
            yield _with_length(head, announced)
            yield from itertools.repeat(part)

    return script


def small_chunks(head: bytes, size: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a body in chunks of one byte, without its end."""
    return lambda: iter((_chunked(head), b'1\r\nx\r\n' * size))


def endless_framing(
    head: bytes, begin: bytes, part: bytes
) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a chunked body that begins and then repeats a part."""

    def script() -> Iterator[bytes | None]:
        yield _chunked(head) + begin
        yield from itertools.repeat(part * (PART_BYTES // len(part)))

    return script


def small_headers(
    head: bytes, size: int, end: bytes
) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a head of a size in bytes with many small headers.

    :param head: head to which headers are added
    :param size: size of the whole head in bytes
    :param end: what ends the head
    """
    count = (size - len(head) - len(end)) // len('a:\r\n')
    data = head + b'a:\r\n' * count + end
    return lambda: iter((data,))


def long_headers(
    head: bytes, count: int, size: int
) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends headers of a size in bytes and no end of the head."""
    return lambda: iter((head, *([b'a: ' + b'x' * (size - 5) + b'\r\n'] * count)))


def silent() -> Iterator[bytes | None]:
    """Send nothing."""
    return iter(())


def pipelined(request: bytes, size: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a request and bytes of further ones behind it."""
    return lambda: iter((request, b'POST / HTTP/1.1\r\na: ' + b'x' * size))


def slowly(request: bytes, parts: int) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a request in parts with pauses."""
    size = -(-len(request) // parts)

    def script() -> Iterator[bytes | None]:
        for at in range(0, len(request), size):
            yield request[at : at + size]
            yield None

    return script


def once(request: bytes) -> Callable[[], Iterator[bytes | None]]:
    """Return a script that sends a request and stays."""
    return lambda: iter((request,))


def _with_length(head: bytes, size: int) -> bytes:
    return head + b'Content-Length: %d\r\n\r\n' % size


def _chunked(head: bytes) -> bytes:
    return head + b'Transfer-Encoding: chunked\r\n\r\n'
