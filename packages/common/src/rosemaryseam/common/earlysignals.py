"""Handles signals that arrive before a program has installed its handlers."""

from __future__ import annotations

import signal

# The default action of these signals ends the process.
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)


def ignore_early_signals() -> None:
    """Ignore the reload and dump signals until the program installs its handlers."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
