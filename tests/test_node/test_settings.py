"""Tests that invalid settings end the node with one error line and a result code.

No traceback is printed.
"""

from __future__ import annotations

import socket
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import pytest
import yaml

from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.node.settings import load_settings

if TYPE_CHECKING:
    import pathlib

VALID_SETTINGS = {
    'host': 'host-1',
    'zone': 'zone-a',
    'listen': '127.0.0.1:18001',
    'peer_listen': '127.0.0.1:18002',
    'admin_listen': '127.0.0.1:18003',
    'admin_token': 'a-token-of-tests',
    'key_value': '127.0.0.1:18004',
    'host_list': '127.0.0.1:18005',
}


def _run(*flags: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, '-m', 'rosemaryseam.node', *flags]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@pytest.mark.parametrize(
    ('change', 'key', 'line', 'code'),
    [
        ({'unheard': 1}, 'unheard', 9, ResultCode.SETTINGS_INVALID),
        ({'zone': 5}, 'zone', 2, ResultCode.SETTINGS_INVALID),
        ({'listen': 'localhost:80'}, 'listen', 3, ResultCode.ADDRESS_INVALID),
        ({'listen': '127.0.0.1'}, 'listen', 3, ResultCode.ADDRESS_INVALID),
        ({'admin_token': 'short'}, 'admin_token', 6, ResultCode.SETTINGS_INVALID),
        ({'timing': {'lease_s': 0}}, 'timing.lease_s', 10, ResultCode.SETTINGS_INVALID),
        ({'bounds': {'x': 1}}, 'bounds.x', 10, ResultCode.SETTINGS_INVALID),
        ({'seeds': ['10.0.0.1:0']}, 'seeds.0', 10, ResultCode.ADDRESS_INVALID),
    ],
)
def test_error_names_file_line_and_key(
    tmp_path: pathlib.Path, change: dict[str, Any], key: str, line: int, code: int
) -> None:
    path = tmp_path / 'node.yaml'
    path.write_text(yaml.safe_dump({**VALID_SETTINGS, **change}, sort_keys=False))
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path))
    assert caught.value.code == code
    assert caught.value.message.startswith(f'{path}: line {line}: {key}: ')
    assert '\n' not in caught.value.message


@pytest.mark.parametrize('text', ['', '[', 'host: a\nhost: b\n', '- 1\n', 'a: *b\n'])
def test_malformed_file_raises_a_settings_error(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / 'node.yaml'
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(str(path))


@pytest.mark.parametrize(
    ('fault', 'code', 'expected_text'),
    [
        ('missing', ResultCode.SETTINGS_FILE_MISSING, 'No such file'),
        ('wrong', ResultCode.SETTINGS_INVALID, 'unknown key'),
        ('in use', ResultCode.ADDRESS_IN_USE, 'admin_listen'),
        ('not ours', ResultCode.ADDRESS_INVALID, 'peer_listen'),
    ],
)
def test_process_exits_with_the_result_code(
    tmp_path: pathlib.Path, fault: str, code: int, expected_text: str
) -> None:
    path = tmp_path / 'node.yaml'
    settings: dict[str, Any] = dict(VALID_SETTINGS)
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        if fault == 'in use':
            settings['admin_listen'] = f'127.0.0.1:{listener.getsockname()[1]}'
        if fault == 'not ours':
            settings['peer_listen'] = '192.0.2.1:18002'
        if fault == 'wrong':
            settings['unheard'] = True
        if fault != 'missing':
            path.write_text(yaml.safe_dump(settings))
        result = _run(f'--settings={path}')
    assert result.returncode == code
    assert result.stderr.startswith(f'error {int(code)}: {path}: ')
    assert expected_text in result.stderr
    assert 'Traceback' not in result.stderr
    assert result.stderr.count('\n') == 1


def test_check_validates_the_settings_and_exits(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'node.yaml'
    path.write_text(yaml.safe_dump(VALID_SETTINGS))
    result = _run(f'--settings={path}', '--check')
    assert result.returncode == ResultCode.OK
    assert result.stdout == f'{path}: ok\n'


def test_missing_settings_flag_prints_the_usage() -> None:
    result = _run()
    assert result.returncode == ResultCode.USAGE
    assert result.stderr.startswith('usage: rosemaryseam-node')
