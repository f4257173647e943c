"""Tests the encoding of datagrams, in a process of its own where one may abort it."""

from __future__ import annotations

import math
import subprocess
import sys
from typing import Any

import pytest

from rosemaryseam.common.errors import PeerError
from rosemaryseam.router.datagramcodec import decode, encode
from rosemaryseam.router.datagrams import (
    Datagram,
    DispatchRequest,
    EndedRequest,
    Incarnation,
    PartMessage,
    Reply,
)
from rosemaryseam.router.origins import Software, StreamOrigin
from rosemaryseam.router.queries import InFlightReport, PlacedPrompt, Placement, Query
from rosemaryseam.router.requestlimits import LimitReport


def nested_list(depth: int) -> list[Any]:
    """Return a list in a list, and so on."""
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


QUERY = Query(
    number=7,
    request_id='r7',
    service='work',
    route='safe',
    rank=1,
    workspace_rank=None,
    parts=((5, 100), (2**64 - 1, 200)),
    prompt_tokens=300,
    output_tokens=20,
    max_output_tokens=40,
    pause_s=0.5,
    due_in_s=1.5,
    expires_in_s=2.5,
    body_bytes=4,
    zone='a',
    excluded=('one', 'two'),
)
PLACEMENT = Placement(7, 'one', 3, 'two', 0.25, 1.5, 1.25, {'loss': 0.5})
IN_FLIGHT = InFlightReport(7, 'one', 1, 10, 20, 30, None, 0.25, 0.5, 1.5, True)

DATAGRAMS = [
    Datagram('10.0.0.1', 2**63, leaving=True),
    Datagram('10.0.0.1', 1, sync=True, active=(1, 2**32 - 1)),
    Datagram('10.0.0.1', 1, dispatch_requests=(DispatchRequest(3, QUERY),)),
    Datagram(
        '10.0.0.1',
        1,
        dispatch_requests=(DispatchRequest(3, QUERY._replace(version='')),),
    ),
    Datagram(
        '10.0.0.1',
        1,
        dispatch_requests=(DispatchRequest(3, QUERY._replace(version='v1')),),
    ),
    Datagram('10.0.0.1', 1, replies=(Reply(7, PLACEMENT, '', 0.0, 0.5),)),
    Datagram('10.0.0.1', 1, replies=(Reply(7, None, 'busy', 0.5, 0.25, True),)),
    Datagram('10.0.0.1', 1, started=(7,), ended=(EndedRequest(7, 'done', 0.5),)),
    Datagram('10.0.0.1', 1, in_flight=(IN_FLIGHT,)),
    Datagram(
        '10.0.0.1',
        1,
        in_flight=(IN_FLIGHT._replace(digests=(1, 2**64 - 1), fingerprint=2**63),),
    ),
    Datagram('10.0.0.1', 1, placed=(PlacedPrompt('one', ((5, 100),), 1.25, 0.5),)),
    Datagram('10.0.0.1', 1, left=(Incarnation('one', 2**41),)),
    Datagram(
        '10.0.0.1',
        1,
        replies=(Reply(7, PLACEMENT._replace(request_limit=0.0), '', 0, 0),),
    ),
    Datagram('10.0.0.1', 1, limits=(LimitReport('one', 2**41, 1.3, 0.5),)),
    Datagram('10.0.0.1', 1, limits=(LimitReport('one', 2**41, None, 0.0),)),
    Datagram('10.0.0.1', 1, origins=(StreamOrigin('r7', Software('work', 'v1')),)),
    Datagram('10.0.0.1', 1, origins=(StreamOrigin('r7', Software('work', '')),)),
    Datagram('10.0.0.1', 1, origins=(StreamOrigin('r7', None),)),
    Datagram('10.0.0.1', 1, origin_lookups=('r7', 'r8')),
    Datagram(
        '10.0.0.1', 1, origins_to_write=(StreamOrigin('r7', Software('work', 'v1')),)
    ),
    Datagram(
        '10.0.0.1', 1, messages=(PartMessage('load', {'one': [1, 2.5, None, 'a']}),)
    ),
]


@pytest.mark.parametrize('datagram', DATAGRAMS)
def test_a_datagram_is_decoded_as_it_was_encoded(datagram: Datagram) -> None:
    assert decode(encode(datagram)) == datagram


@pytest.mark.parametrize('data', [b'', b'x', encode(DATAGRAMS[2])[:-1], b'\x00' * 64])
def test_a_cut_datagram_is_unreadable(data: bytes) -> None:
    with pytest.raises(PeerError):
        decode(data)


ODD_ENTRIES = [
    Datagram('10.0.0.1', 1, limits=(LimitReport('one', 1, math.nan, 0.0),)),
    Datagram('10.0.0.1', 1, limits=(LimitReport('one', 1, math.inf, 0.0),)),
    Datagram('10.0.0.1', 1, limits=(LimitReport('one', 1, -0.5, 0.0),)),
    Datagram('10.0.0.1', 1, replies=(Reply(7, PLACEMENT, '', 0.0, math.nan),)),
    Datagram(
        '10.0.0.1',
        1,
        replies=(Reply(7, PLACEMENT._replace(engine_slowdown=math.inf), '', 0, 0),),
    ),
    Datagram('10.0.0.1', 1, placed=(PlacedPrompt('one', (), math.nan, 0.5),)),
    Datagram('10.0.0.1', 1, messages=(PartMessage('load', math.nan),)),
    Datagram('10.0.0.1', 1, messages=(PartMessage('load', nested_list(900)),)),
]


# Guards against messages of another host that are lost with one that is unreadable.
@pytest.mark.parametrize('odd', ODD_ENTRIES)
def test_an_odd_entry_of_a_datagram_is_left_out(odd: Datagram) -> None:
    sound = Datagram(
        '10.0.0.1',
        1,
        replies=(Reply(8, None, 'busy', 0.5, 0.25),),
        limits=(LimitReport('two', 2, 1.5, 0.5),),
        placed=(PlacedPrompt('two', ((5, 100),), 1.25, 0.5),),
        messages=(PartMessage('load', {'seen': []}),),
    )
    both = sound._replace(
        replies=odd.replies + sound.replies,
        limits=odd.limits + sound.limits,
        placed=odd.placed + sound.placed,
        messages=odd.messages + sound.messages,
    )
    decoded = decode(encode(both))
    assert len(decoded.unreadable) == 1
    assert decoded._replace(unreadable=()) == sound


FUZZ = """
import random, sys, zlib
from test_datagrams import DATAGRAMS
from rosemaryseam.common.errors import PeerError
from rosemaryseam.router.datagramcodec import decode, encode

rng = random.Random(int(sys.argv[1]))
samples = [encode(datagram) for datagram in DATAGRAMS]
for _ in range(15_000):
    data = bytearray(rng.choice(samples))
    inner = rng.random() < 0.8
    if inner:
        data = bytearray(zlib.decompress(data))
    if rng.random() < 0.2:
        data = bytearray(rng.randbytes(rng.randint(1, 200)))
    for _ in range(rng.randint(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    data = bytes(data[: rng.randint(1, len(data))])
    try:
        decode(zlib.compress(data, 1) if inner else data)
    except PeerError:
        pass
"""


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_malformed_datagrams_end_no_process(seed: int) -> None:
    path = str(__file__).rpartition('/')[0]
    program = f'import sys; sys.path.insert(0, {path!r})\n{FUZZ}'
    done = subprocess.run(
        [sys.executable, '-c', program, str(seed)],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stderr[-2000:]
