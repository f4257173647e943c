"""Tests that a catalogue is checked as a whole and faults come with their lines."""

from __future__ import annotations

from typing import Any

import pytest
import yaml

from catalogues import sample_catalogue
from rosemaryseam.common.catalogue import load_catalogue
from rosemaryseam.common.errors import CatalogueError


def _sample() -> dict[str, Any]:
    return sample_catalogue({'engine-1': '127.0.0.1:1'}, {'app-1': '127.0.0.1:2'})


def test_sample_catalogue_is_valid() -> None:
    catalogue = load_catalogue(yaml.safe_dump(_sample()))
    assert [entry.tier for entry in catalogue.classes] == [0, 0, 1, 1, 2]


@pytest.mark.parametrize(
    ('section', 'index', 'change', 'key', 'expected'),
    [
        ('classes', 0, {'tier': 'high'}, 'classes.0.tier', 'integer'),
        ('classes', 1, {'name': 'coaching'}, 'classes.1.name', 'repeated name'),
        ('classes', 0, {'floor': 0.6}, 'classes.0.floor', 'less than'),
        ('classes', 0, {'floor': 0.45}, 'classes', 'floors add up'),
        ('classes', 2, {'preemptible': True}, 'classes.2.preemptible', 'preempted'),
        ('classes', 0, {'target': {}}, 'classes.0.target', 'either'),
        ('workspaces', 0, {'keys': ['plain']}, 'workspaces.0.keys.0', 'pattern'),
        ('workspaces', 0, {'classes': ['x']}, 'workspaces.0.classes.0', "name 'x'"),
        ('workspaces', 0, {'weight': 0}, 'workspaces.0.weight', 'greater than 0'),
        ('routes', 0, {'request_class': 'x'}, 'routes.0.request_class', "name 'x'"),
        ('routes', 0, {'workspace': 'x'}, 'routes.0.workspace', "name 'x'"),
        ('pools', 0, {'kind': 'disk'}, 'pools.0.kind', "'engine' or 'app'"),
        ('upstreams', 0, {'pool': 'x'}, 'upstreams.0.pool', "name 'x'"),
        ('upstreams', 0, {'classes': ['x']}, 'upstreams.0.classes.0', "name 'x'"),
        (
            'upstreams',
            1,
            {'address': '127.0.0.1:1'},
            'upstreams.1.address',
            'appears elsewhere',
        ),
        ('upstreams', 0, {'address': 'engine:1'}, 'upstreams.0.address', 'IP address'),
        ('upstreams', 0, {'limits': {}}, 'upstreams.0.limits.concurrent', 'missing'),
        (
            'upstreams',
            0,
            {'limits': {'concurrent': 0}},
            'upstreams.0.limits.concurrent',
            'greater than 0',
        ),
    ],
)
def test_fault_is_reported_with_key_and_line(
    section: str, index: int, change: dict[str, Any], key: str, expected: str
) -> None:
    document = _sample()
    document[section][index].update(change)
    text = yaml.safe_dump(document, sort_keys=False)
    with pytest.raises(CatalogueError) as caught:
        load_catalogue(text)
    message = caught.value.message
    assert f': {key}: ' in message
    assert expected in message
    line = int(message.split('line ')[1].split(':')[0])
    begin = text.splitlines().index(f'{section}:') + 1
    assert line >= begin


@pytest.mark.parametrize(
    'text',
    ['', 'classes: []', '[]', 'classes: {', 'a: 1\na: 2', '!!python/object:x {}'],
)
def test_malformed_document_is_rejected(text: str) -> None:
    with pytest.raises(CatalogueError):
        load_catalogue(text)
