"""Tests that only the adapter, the deploy files and their tests use platform names."""

from __future__ import annotations

import pathlib
import re
import subprocess

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM_NAMES = re.compile(
    r'Rosemaryseam-[A-Z]|Kv-(Fetch|From)|/-/|kv-(txn|watch|range|lease|keep)'
    r'|coldLeftMs|targetLatencyMs|pathPrefix|gapAimMs|apiKeys|maxAttempts|healthPath'
    r'|expectedRev|morePages|asOf\b|internalPorts|revokeMs|retrySlack|\bop/config'
    r'|ROSEMARYSEAM_CONFIG',
)
MAX_ADAPTER_LINES = 900


def tracked(*patterns: str) -> list[pathlib.Path]:
    """Return the files in version control that match the patterns."""
    listed = subprocess.run(
        ['git', 'ls-files', '--', *patterns],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return [ROOT / line for line in listed.stdout.splitlines()]


def product_files() -> list[pathlib.Path]:
    """Return the source files outside the adapter."""
    files = tracked('packages/*.py', 'packages/*.capnp', 'tools/*.py')
    return [file for file in files if file.exists()]


def test_product_files_are_found() -> None:
    assert len(product_files()) > 50


@pytest.mark.parametrize(
    'file', product_files(), ids=lambda file: str(file.relative_to(ROOT))
)
def test_product_uses_no_platform_name(file: pathlib.Path) -> None:
    found = [
        f'{number}: {line.strip()}'
        for number, line in enumerate(file.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert found == []


def test_adapter_is_below_its_line_limit() -> None:
    lines = 0
    for file in (ROOT / 'platform').rglob('*.py'):
        lines += len(file.read_text().splitlines())
    assert 0 < lines < MAX_ADAPTER_LINES


def test_product_does_not_import_the_adapter() -> None:
    for file in product_files():
        assert 'rosemaryseam.platform' not in file.read_text(), file


ALLOWED_IMPORTS = {
    'common': {'common'},
    'policy': {'common', 'policy'},
    'router': {'common', 'policy', 'router'},
    'node': {'common', 'policy', 'node'},
    'operator': {'common', 'operator'},
    'standins': {'common', 'standins'},
    'experiments': {'common', 'policy', 'router', 'experiments'},
}
IMPORT = re.compile(r'^\s*(?:from|import) rosemaryseam\.(\w+)', re.MULTILINE)


@pytest.mark.parametrize('package', ALLOWED_IMPORTS)
def test_packages_import_only_allowed_packages(package: str) -> None:
    allowed = ALLOWED_IMPORTS[package]
    for file in (ROOT / 'packages' / package).rglob('*.py'):
        imported = set(IMPORT.findall(file.read_text()))
        assert imported <= allowed, (file, imported - allowed)
