"""Buffers for bodies, whose memory returns to the system at once."""

from __future__ import annotations

import mmap

MAPPED_BYTES = 65_536  # larger buffers are mapped, so that no heap keeps them
GROWTH_BYTES = 16_384  # smallest growth of a buffer without a known size
_BLANK = b''


class BodyBuffer:
    """Collects the bytes of a body in one piece of memory.

    :param size: size in bytes, if the body has a stated length
    """

    def __init__(self, size: int = 0) -> None:
        self._size = 0
        self._memory: bytearray | mmap.mmap = _allocate(size)

    @property
    def size(self) -> int:
        """The number of bytes so far."""
        return self._size

    @property
    def capacity(self) -> int:
        """The number of bytes that are allocated."""
        return len(self._memory)

    def capacity_for(self, count: int) -> int:
        """Return the capacity that the buffer needs to hold more bytes.

        :param count: number of bytes to add
        """
        needed = self._size + count
        if needed <= self.capacity:
            return self.capacity
        return max(needed, self.capacity * 2, GROWTH_BYTES)

    def append(self, data: bytes | bytearray) -> None:
        """Add bytes; the buffer grows to :meth:`capacity_for` them.

        :param data: bytes to add
        """
        capacity = self.capacity_for(len(data))
        if capacity > self.capacity:
            self._grow(capacity)
        self._memory[self._size : self._size + len(data)] = data
        self._size += len(data)

    def view(self) -> bytes | memoryview:
        """Return the body without a copy; the buffer may not grow any more."""
        if not self._size:
            return _BLANK
        return memoryview(self._memory)[: self._size]

    def release(self) -> None:
        """Free the memory, unless a view of it is still in use."""
        memory, self._memory, self._size = self._memory, bytearray(), 0
        if isinstance(memory, mmap.mmap):
            try:
                memory.close()
            except BufferError:
                return  # freed with the last view

    def _grow(self, capacity: int) -> None:
        if isinstance(self._memory, mmap.mmap):
            self._memory.resize(capacity)
            return
        grown = _allocate(capacity)
        grown[: self._size] = self._memory[: self._size]
        self._memory = grown


def _allocate(size: int) -> bytearray | mmap.mmap:
    if size <= MAPPED_BYTES:
        return bytearray(size)
    return mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
