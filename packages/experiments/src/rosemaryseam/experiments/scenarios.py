"""The scenarios on which policies are compared."""

from __future__ import annotations

from rosemaryseam.experiments.load import (
    Burst,
    Crash,
    LogNormal,
    Noise,
    RequestKind,
    Scenario,
)

_DIGEST_PARTS = ((LogNormal(2520, 0.4, 6290), 4), (LogNormal(3780, 0.7, 11300), 320))
_ASK_PARTS = ((LogNormal(341, 0.4, 851), 40), (LogNormal(227, 0.7, 681), 338))
_COPY_PARTS = ((LogNormal(103, 0.4, 257), 8), (LogNormal(69, 0.7, 206), 252))


def _leasing_kinds() -> tuple[RequestKind, ...]:
    return (
        RequestKind(
            'digest', 22.6, 2, 1.6, 0.46, 1.5, 1.2, 5.0, _DIGEST_PARTS,
            LogNormal(2890, 1.0, 39600), LogNormal(52, 1.4, 208), True,
        ),
        RequestKind(
            'ask', 23.9, 1, 1.2, 0.38, 1.0, 0.5, 3.0, _ASK_PARTS,
            LogNormal(1800, 1.3, 6870), LogNormal(22.5, 1.4, 90), False,
        ),
        RequestKind(
            'copy', 11.9, 0, 5.2, 0.45, 1.2, 0.3, 15.0, _COPY_PARTS,
            LogNormal(543, 0.89, 2310), LogNormal(280, 0.7, 950), True,
        ),
    )  # fmt: skip


def _mediation_kinds() -> tuple[RequestKind, ...]:
    return (
        RequestKind(
            'digest', 16.6, 2, 1.6, 0.77, 1.5, 1.2, 5.0, _DIGEST_PARTS,
            LogNormal(2890, 1.0, 39600), LogNormal(52, 1.4, 208), True,
        ),
        RequestKind(
            'draft', 17.5, 1, 1.2, 0.63, 1.0, 0.5, 3.0, _ASK_PARTS,
            LogNormal(1800, 1.3, 6870), LogNormal(22.5, 1.4, 90), False,
        ),
        RequestKind(
            'coach', 8.68, 0, 5.2, 0.78, 1.0, 0.3, 15.0, _COPY_PARTS,
            LogNormal(543, 0.89, 2310), LogNormal(280, 0.7, 916), True,
        ),
    )  # fmt: skip


def _bursts(long: str, urgent: str) -> tuple[Burst, ...]:
    return (
        Burst(long, 0.5, 9.0, 2.2),
        Burst(urgent, 11.0, 5.0, 2.1),
        Burst(long, 17.5, 4.5, 2.1),
    )


LEASING = Scenario(
    name='leasing',
    engine_count=9,
    engine_slowdowns=(1.0,),
    slots=64,
    memory_tokens=310_074,
    tokens_per_event=5,
    host_count=6,
    duration_s=34.0,
    load_factor=1.1,
    kinds=_leasing_kinds(),
    bursts=_bursts('digest', 'copy'),
    crashes=(Crash(2, 17.5, 2.0),),
)

MEDIATION = Scenario(
    name='mediation',
    engine_count=6,
    engine_slowdowns=(1.0, 1.0, 1.3),
    slots=64,
    memory_tokens=503_657,
    tokens_per_event=4,
    host_count=8,
    duration_s=34.0,
    load_factor=1.05,
    kinds=_mediation_kinds(),
    bursts=_bursts('digest', 'coach'),
    crashes=(Crash(1, 7.0, 4.0),),
)

_GROWN_PARTS = ((LogNormal(2520, 0.4, 6290), 4), (LogNormal(3780, 0.7, 11300), 1846))

GROWN = Scenario(
    name='grown',
    engine_count=56,
    engine_slowdowns=(1.0,),
    slots=16,
    memory_tokens=286_122,
    tokens_per_event=7,
    host_count=75,
    duration_s=14.0,
    load_factor=1.0,
    kinds=(
        RequestKind(
            'digest', 225.0, 2, 1.9, 0.59, 1.5, 1.2, 5.0, _GROWN_PARTS,
            LogNormal(2890, 1.0, 39600), LogNormal(52, 1.4, 208), True,
        ),
        RequestKind(
            'ask', 146.0, 1, 1.5, 0.45, 1.0, 0.5, 3.0,
            ((LogNormal(341, 0.4, 851), 80), (LogNormal(227, 0.7, 681), 1914)),
            LogNormal(1800, 1.3, 6870), LogNormal(22.5, 1.4, 90), False,
        ),
        RequestKind(
            'copy', 41.0, 0, 6.4, 0.57, 1.0, 0.3, 12.0,
            ((LogNormal(103, 0.4, 257), 16), (LogNormal(69, 0.7, 206), 807)),
            LogNormal(543, 0.89, 2310), LogNormal(280, 0.7, 952), True,
        ),
    ),
    bursts=(Burst('digest', 0.5, 9.0, 1.6), Burst('copy', 10.0, 3.0, 1.8)),
)  # fmt: skip

# Engines of different speeds, which neighbours slow down at times.
UNEVEN = LEASING._replace(
    name='uneven',
    engine_slowdowns=(0.6, 1.0, 1.6),
    noise=Noise(0.15, 0.6, 2.5),
    crashes=(),
)
# Engines whose steps become longer beyond half of their slots.
CROWDED = LEASING._replace(
    name='crowded', crowded_share=0.25, crowding=8.0, slots=64, crashes=()
)

SCENARIOS = {
    scenario.name: scenario for scenario in (LEASING, MEDIATION, GROWN, UNEVEN, CROWDED)
}
