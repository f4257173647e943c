"""Authentication and the choice of a request's class and pool."""

from __future__ import annotations

from typing import Any

import falcon.testing
import pytest
import yaml

from catalogues import KEYS, sample_catalogue
from rosemaryseam.common.catalogue import Catalogue, load_catalogue
from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.node.gateway.admission import (
    authenticate,
    find_app_pool,
    find_model_pool,
    find_request_class,
)

ROUTES = [
    {'path': '/apps/desk/*', 'workspace': 'court', 'request_class': 'coaching'},
    {'model': 'small', 'workspace': 'court', 'request_class': 'listing'},
    {'path': '/apps/*', 'request_class': 'booking'},
    {'model': 'small', 'request_class': 'drafting'},
]


def _catalogue(**market: Any) -> Catalogue:
    document = sample_catalogue({'engine-1': '127.0.0.1:1'}, {'app-1': '127.0.0.1:2'})
    document['routes'] = ROUTES
    document['workspaces'][0].update(market)
    return load_catalogue(yaml.safe_dump(document))


def _request(path: str, key: str = 'market', **headers: str) -> Any:
    headers = {'Authorization': f'Bearer {KEYS[key]}', **headers}
    return falcon.testing.create_req(path=path, headers=headers)


@pytest.mark.parametrize(
    ('key', 'path', 'model', 'headers', 'expected'),
    [
        ('market', '/apps/desk/x', None, {}, 'booking'),
        ('court', '/apps/desk/x', None, {}, 'coaching'),
        ('court', '/apps/other/x', None, {}, 'booking'),
        ('market', '/v1/completions', 'small', {}, 'drafting'),
        ('court', '/v1/completions', 'small', {}, 'listing'),
        (
            'court',
            '/v1/completions',
            'small',
            {'X-Request-Class': 'coaching'},
            'coaching',
        ),
    ],
)
def test_class_is_determined_by_header_or_route(
    key: str, path: str, model: str | None, headers: dict[str, str], expected: str
) -> None:
    catalogue = _catalogue()
    req = _request(path, key, **headers)
    workspace = authenticate(req, catalogue)
    assert workspace.name == key
    assert find_request_class(req, catalogue, workspace, model).name == expected


@pytest.mark.parametrize(
    ('market', 'path', 'headers'),
    [
        ({}, '/v1/other', {}),
        ({}, '/apps/desk/x', {'X-Request-Class': 'nothing'}),
        ({'classes': ['listing']}, '/apps/desk/x', {}),
        ({'classes': ['listing']}, '/apps/desk/x', {'X-Request-Class': 'coaching'}),
    ],
)
def test_class_not_allowed_for_the_workspace_is_refused(
    market: dict[str, Any], path: str, headers: dict[str, str]
) -> None:
    catalogue = _catalogue(**market)
    req = _request(path, **headers)
    with pytest.raises(RequestError) as caught:
        find_request_class(req, catalogue, authenticate(req, catalogue), None)
    assert caught.value.code == ResultCode.CLASS_NOT_ALLOWED


def test_class_header_is_ignored_if_the_workspace_may_not_choose() -> None:
    catalogue = _catalogue(may_choose_class=False)
    req = _request('/apps/desk/x', **{'X-Request-Class': 'coaching'})
    workspace = authenticate(req, catalogue)
    assert find_request_class(req, catalogue, workspace, None).name == 'booking'


@pytest.mark.parametrize(
    'header', ['', 'Bearer ', 'Bearer wrong', 'Basic x', 'Bearer \xe9']
)
def test_missing_or_unknown_key_is_refused(header: str) -> None:
    req = falcon.testing.create_req(headers={'Authorization': header})
    with pytest.raises(RequestError) as caught:
        authenticate(req, _catalogue())
    assert caught.value.code == ResultCode.UNAUTHENTICATED


def test_pools_are_found_by_model_or_name() -> None:
    catalogue = _catalogue()
    assert find_model_pool(catalogue, 'small').name == 'models'
    assert find_app_pool(catalogue, 'desk').name == 'desk'
    for find, name in ((find_model_pool, 'large'), (find_app_pool, 'models')):
        with pytest.raises(RequestError) as caught:
            find(catalogue, name)
        assert caught.value.code == ResultCode.NOT_FOUND
