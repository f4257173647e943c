"""Signals that arrive before a program has set its handlers."""

from __future__ import annotations

import signal

HARMLESS = (signal.SIGHUP, signal.SIGUSR1)  # these would end the process by default


def ignore_early_signals() -> None:
    """Ignore reload and dump requests until the program handles them."""
    for number in HARMLESS:
        signal.signal(number, signal.SIG_IGN)
