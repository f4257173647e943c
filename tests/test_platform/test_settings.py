"""Tests of decoding the platform's settings file."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest
from oddvalues import BYTES, OddValue

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.platform.earlystart import SETTINGS_VARIABLE, open_caller_listener
from rosemaryseam.platform.settings import METRICS_PORT, load_platform_settings

SETTINGS: dict[str, Any] = {
    'node': 'front-q1-1',
    'role': 'router',
    'ip': '10.1.0.40',
    'zone': 'q1',
    'zones': {'q1': 'saigon', 'q2': 'saigon'},
    'listen': {
        'front': '10.1.0.40:8227',
        'readiness': '10.1.0.40:8220',
        'control': '10.1.0.40:8229',
    },
    'internalPorts': [7340, 7355],
    'seeds': ['10.1.0.40:8229', '10.2.0.29:8229'],
    'limits': {'cpuShare': 0.5, 'cores': 2, 'memoryMb': 150, 'maxFds': 4100},
    'bounds': {
        'graceS': 8,
        'revokeMs': 5000,
        'retryRatio': 0.2,
        'retryWindowS': 10,
        'retrySlack': 52,
        'passMs': 120,
    },
    'platform': {'addr': '10.200.1.7:8223', 'form': 'kv'},
    'somethingNew': [1, 2],
}


def write(path: pathlib.Path, data: Any) -> str:
    """Write a settings file and return its path."""
    file = path / 'local.json'
    file.write_text(data if isinstance(data, str) else json.dumps(data))
    return str(file)


def test_settings_are_decoded(tmp_path: pathlib.Path) -> None:
    cfg = load_platform_settings(write(tmp_path, SETTINGS))
    assert cfg.host == 'front-q1-1'
    assert cfg.callers == Address('10.1.0.40', 8227)
    assert cfg.metrics == Address('10.1.0.40', METRICS_PORT)
    assert cfg.peer_port == 7340
    assert cfg.store == Address('10.200.1.7', 8223)
    assert cfg.max_key_staleness_s == 5.0
    assert cfg.retry_budget_limits == (0.2, 52.0, 10.0)
    assert cfg.memory_bytes == 150_000_000


def test_metrics_port_matches_the_deployment() -> None:
    root = pathlib.Path(__file__).resolve().parents[2]
    deploy = (root / 'deploy' / 'system.toml').read_text()
    assert f'metrics = "{METRICS_PORT}/metrics"' in deploy


INVALID_SETTINGS: list[tuple[str, Any, ResultCode]] = [
    ('no JSON', '{', ResultCode.SETTINGS_INVALID),
    ('a list', '[]', ResultCode.SETTINGS_INVALID),
    ('no zone', {**SETTINGS, 'zone': None, 'ip': None}, ResultCode.SETTINGS_INVALID),
    ('a host name', {**SETTINGS, 'platform': {'addr': 'store:80'}},
     ResultCode.SETTINGS_INVALID),
    ('no ports', {**SETTINGS, 'internalPorts': []}, ResultCode.SETTINGS_INVALID),
    ('a key is missing', {'node': 'x'}, ResultCode.SETTINGS_INVALID),
]  # fmt: skip


@pytest.mark.parametrize(
    ('name', 'data', 'code'), INVALID_SETTINGS, ids=[row[0] for row in INVALID_SETTINGS]
)
def test_invalid_settings_are_reported_in_one_line(
    name: str, data: Any, code: ResultCode, tmp_path: pathlib.Path
) -> None:
    with pytest.raises(SettingsError) as caught:
        load_platform_settings(write(tmp_path, data))
    assert caught.value.code == code
    assert '\n' not in caught.value.message


def test_missing_file_is_reported(tmp_path: pathlib.Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_platform_settings(str(tmp_path / 'none.json'))
    assert caught.value.code == ResultCode.SETTINGS_FILE_MISSING


# Guards against processes that end at each start, before they can say why (issue 42).
@pytest.mark.parametrize('odd', BYTES, ids=lambda odd: odd.name)
def test_odd_settings_are_reported_after_the_early_start(
    odd: OddValue, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / 'settings.json'
    path.write_bytes(odd.value)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert open_caller_listener() is None
    with pytest.raises(SettingsError):
        load_platform_settings(str(path))
