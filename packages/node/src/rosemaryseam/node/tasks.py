"""Base class of tasks: greenlets that own their state and receive messages."""

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
    """A greenlet with an inbox and periodic work.

    :param clock: clock of the process
    :param metrics: metrics of the process
    :param tick_s: interval of :meth:`tick` in seconds
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
        """The handler for each type of message."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Do the periodic work."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state of the task in JSON types."""

    def post(self, message: Any) -> None:
        """Put a message in the inbox.

        :param message: message of a type in :attr:`handlers`
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
        """Handle one message immediately, in the caller's greenlet.

        :param message: message of a type in :attr:`handlers`
        """
        self.handlers[type(message)](message)

    def handle_queued(self) -> None:
        """Handle all queued messages, in the caller's greenlet."""
        while not self._inbox.empty():
            self.handle(self._inbox.get())

    def _run(self) -> None:
        while True:
            wait = max(0.0, self._next_tick - self.clock.monotonic())
            try:
                message = self._inbox.get(timeout=wait) if wait else self._raise_empty()
            except Empty:
                self._next_tick = self.clock.monotonic() + self._tick_s
                self._run_guarded(self.tick)
            else:
                self._run_guarded(self.handle, message)

    def _raise_empty(self) -> Any:
        raise Empty

    def _run_guarded(self, function: Callable[..., None], *args: Any) -> None:
        try:
            function(*args)
        except Exception:
            name = type(self).__name__
            self.metrics.count('task_errors', task=name)
            logger.exception('task {} failed to handle a message', name)
