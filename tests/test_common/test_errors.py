"""Tests that the documentation of result codes matches the code."""

from __future__ import annotations

import pathlib
import re

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.node.gateway import errors

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'using' / 'result-codes.md'
ROW = re.compile(r'^\| (\d+) \| ([A-Z_]+) \| *(\d*) *\|', re.MULTILINE)


def test_page_lists_every_result_code() -> None:
    rows = {int(code): name for code, name, _ in ROW.findall(PAGE.read_text())}
    assert rows == {int(code): code.name for code in ResultCode}


def test_page_lists_http_status_of_each_code() -> None:
    rows = {int(code): status for code, _, status in ROW.findall(PAGE.read_text())}
    for code, status in errors._HTTP_STATUSES.items():
        assert rows[int(code)] == status.split()[0], code.name
