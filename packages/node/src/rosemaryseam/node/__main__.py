"""Command that runs the node of an entry host."""

from __future__ import annotations

import signal
import sys

import gevent
from absl import app, flags
from loguru import logger

from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.node.process import build_node
from rosemaryseam.node.settings import LogSettings, load_settings

_SETTINGS = flags.DEFINE_string('settings', None, 'The YAML file with the settings.')
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings and exit.')


def main(argv: list[str]) -> int:
    """Run a node.

    :param argv: the program name and positional arguments, which are not allowed
    :returns: result code of the process
    """
    if len(argv) > 1 or _SETTINGS.value is None:
        print('usage: rosemaryseam-node --settings FILE [--check]', file=sys.stderr)
        return ResultCode.USAGE
    try:
        cfg = load_settings(_SETTINGS.value)
        if _CHECK.value:
            print(f'{_SETTINGS.value}: ok')
            return ResultCode.OK
        _configure_log(cfg.log)
        node = build_node(cfg, SystemClock(), _SETTINGS.value)
        node.start()
    except SettingsError as exc:
        print(f'error {int(exc.code)}: {exc.message}', file=sys.stderr)
        return exc.code
    gevent.signal_handler(signal.SIGTERM, node.request_stop)
    gevent.signal_handler(signal.SIGINT, node.request_stop)
    gevent.signal_handler(signal.SIGUSR1, node.log_dump)
    node.wait()
    return ResultCode.OK


def run() -> None:
    """Parse the command line and run the node; entry point of the command."""
    app.run(main)


def _configure_log(cfg: LogSettings) -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        level=cfg.level,
        serialize=cfg.format == 'json',
        backtrace=False,
        diagnose=False,
    )


if __name__ == '__main__':
    run()
