"""Entry point of the operators' command."""

from __future__ import annotations

import json
import sys

from absl import app, flags

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.errors import ResultCode, RosemaryseamError
from rosemaryseam.common.keyvalue import open_key_value_store
from rosemaryseam.operator.commands import Commands, Result, check_catalogue
from rosemaryseam.operator.explain import explain
from rosemaryseam.operator.hosts import HostClient
from rosemaryseam.operator.settings import load_operator_settings

_SETTINGS = flags.DEFINE_string(
    'settings', 'operator.yaml', 'The YAML file that names platform and hosts.'
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON for programs.')
_BASE = flags.DEFINE_integer(
    'base', None, 'The revision that the change was made from.', lower_bound=0
)

USAGE = """usage: rosemaryseam [--settings FILE] [--json] SUBCOMMAND

  catalogue check FILE          check a catalogue file
  catalogue diff FILE           show how a file differs from the stored catalogue
  catalogue apply FILE [--base REVISION]
                                store a file as the next revision
  catalogue show                show the stored catalogue
  catalogue history             show the last changes
  status                        show the hosts
  dump HOST                     show the whole state of a host's process
  explain ID FILE ...           show the timeline of a request from host logs

example: rosemaryseam catalogue apply catalogue.yaml --base 41"""


def main(argv: list[str]) -> int:
    """Run one subcommand.

    :param argv: the command line without its flags
    :returns: a result code
    """
    try:
        result = _run_subcommand(argv[1:])
    except RosemaryseamError as exc:
        print(f'error {int(exc.code)}: {exc.message}', file=sys.stderr)
        return exc.code
    if result is None:
        print(USAGE, file=sys.stderr)
        return ResultCode.USAGE
    if _JSON.value or not result.lines:
        print(json.dumps(result.data, indent=2))
    else:
        print('\n'.join(result.lines))
    return result.code


def _run_subcommand(words: list[str]) -> Result | None:
    match words:
        case ['catalogue', 'check', path]:
            return check_catalogue(path)
        case ['catalogue', 'diff', path]:
            return _open_commands().diff(path)
        case ['catalogue', 'apply', path]:
            return _open_commands().apply(path, _BASE.value)
        case ['catalogue', 'show']:
            return _open_commands().show()
        case ['catalogue', 'history']:
            return _open_commands().history()
        case ['status']:
            return _open_commands().status()
        case ['dump', host]:
            return _open_commands().dump(host)
        case ['explain', request_id, path, *paths]:
            return explain(request_id, [path, *paths])
    return None


def _open_commands() -> Commands:
    cfg = load_operator_settings(_SETTINGS.value)
    store = open_key_value_store(parse_address(cfg.key_value), cfg.timeout_s)
    return Commands(cfg, store, HostClient(cfg), SystemClock())


def run() -> None:
    """Parse the command line and run; the entry point of the installed command."""
    app.run(main)


if __name__ == '__main__':
    run()
