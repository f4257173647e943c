"""Tasks: greenlets that own their state and talk by messages."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import gevent
from gevent.queue import Empty, Queue
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics


class Task(abc.ABC):
    """A greenlet with an inbox and a periodic tick.

    :param clock: the process's clock
    :param metrics: the process's counters
    :param tick_s: interval of :meth:`tick`
    """

    def __init__(self, clock: Clock, metrics: Metrics, tick_s: float) -> None:
        self.clock = clock
        self.metrics = metrics
        self._tick_s = tick_s
        self._inbox: Queue = Queue()
        self._greenlet: gevent.Greenlet | None = None
        self._next_tick = 0.0

    @property
    @abc.abstractmethod
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """What to call for each type of message."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Do what is due."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the whole state in JSON's types."""

    def post(self, message: Any) -> None:
        """Put a message in the inbox.

        :param message: of a type that :attr:`handlers` names
        """
        self._inbox.put(message)

    def start(self) -> None:
        """Start the greenlet."""
        self._next_tick = self.clock.monotonic()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def handle(self, message: Any) -> None:
        """Handle one message now, in the caller's greenlet.

        :param message: of a type that :attr:`handlers` names
        """
        self.handlers[type(message)](message)

    def handle_queued(self) -> None:
        """Handle all messages that wait, in the caller's greenlet."""
        while not self._inbox.empty():
            self.handle(self._inbox.get())

    def _run(self) -> None:
        while True:
            wait = max(0.0, self._next_tick - self.clock.monotonic())
            try:
                message = self._inbox.get(timeout=wait) if wait else self._poll()
            except Empty:
                self._next_tick = self.clock.monotonic() + self._tick_s
                self._guard(self.tick)
            else:
                self._guard(self.handle, message)

    def _poll(self) -> Any:
        raise Empty

    def _guard(self, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except Exception:
            name = type(self).__name__
            self.metrics.count('task_errors', task=name)
            logger.exception('task {} failed to handle a message', name)
