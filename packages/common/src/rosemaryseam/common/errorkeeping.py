"""Sockets whose errors are not lost to a call that ignores them."""

from __future__ import annotations

from typing import Any


class ErrorKeepingSocket:
    """A socket that raises an error again to whoever reads its end later.

    The kernel reports a reset once, to the first call on the socket. If that call
    belongs to the greenlet that writes, or only looks whether there are bytes, the next
    one that reads gets an ordered end. Bytes that arrived before the reset are read
    first, as they may be a complete answer.

    Other methods are those of the socket.

    :param sock: connected socket
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self.error: OSError | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive bytes; an empty result is an ordered end.

        :param size: maximum number of bytes
        :param flags: flags of the call
        :raises OSError: the connection failed, in this call or before
        """
        try:
            data = self._sock.recv(size, flags)
        except OSError as exc:
            self._keep(exc)
            raise
        if not data and self.error is not None:
            raise self.error
        return data

    def sendall(self, data: bytes | memoryview) -> None:
        """Send bytes.

        :param data: bytes to send
        :raises OSError: the connection failed
        """
        try:
            self._sock.sendall(data)
        except OSError as exc:
            self._keep(exc)
            raise

    def _keep(self, exc: OSError) -> None:
        is_timeout_of_call = isinstance(exc, TimeoutError) and exc.errno is None
        if self.error is None and not is_timeout_of_call:
            self.error = exc
