"""Load tool that sends open-loop requests of a scenario file with a fixed seed."""

from __future__ import annotations

import json
import pathlib
import random
import sys
from typing import TYPE_CHECKING

import gevent
from absl import app, flags

from rosemaryseam.common.clock import Clock, SystemClock
from rosemaryseam.common.errors import SettingsError
from rosemaryseam.common.settings import read_settings
from rosemaryseam.standins.caller import Caller, Observation
from rosemaryseam.standins.report import build_report, format_table
from rosemaryseam.standins.scenario import Scenario, Stream

if TYPE_CHECKING:
    from collections.abc import Iterator

_SCENARIO = flags.DEFINE_string('scenario', None, 'YAML file of the scenario.')
_REPORT = flags.DEFINE_string('report', None, 'Path of the JSON report.')

PROGRESS_INTERVAL_S = 2.0
JOIN_GRACE_S = 5.0  # after the end of the last caller's patience


def plan_requests(scenario: Scenario) -> list[tuple[float, Stream, int]]:
    """Return send time, stream and number of each request, in order of time.

    :param scenario: scenario with rates, duration and seed
    """
    merged = sorted(
        (at, index, stream, number)
        for index, stream in enumerate(scenario.streams)
        for number, at in enumerate(_draw_send_times(scenario, index, stream))
    )
    kept = merged[: scenario.max_requests]
    return [(at, stream, number) for at, _, stream, number in kept]


def run_scenario(scenario: Scenario, clock: Clock) -> list[Observation]:
    """Send all requests and return the observations of the callers.

    :param scenario: scenario to send
    :param clock: clock of the process
    """
    rng = random.Random(scenario.seed)
    planned = plan_requests(scenario)
    start = clock.monotonic()
    callers: list[gevent.Greenlet] = []
    progress = gevent.spawn(_show_progress, callers, len(planned))
    for at, stream, number in planned:
        gevent.sleep(max(0.0, start + at - clock.monotonic()))
        nodes = rng.sample(scenario.nodes, len(scenario.nodes))
        key = rng.choice(stream.keys)
        for copy in range(stream.copies):
            caller = Caller(
                clock,
                nodes[copy:] + nodes[:copy],
                stream,
                number,
                key,
                start + at,
                scenario.patience_s,
                str(scenario.seed),
            )
            callers.append(gevent.spawn(caller.run))
    gevent.joinall(callers, timeout=scenario.patience_s + JOIN_GRACE_S)
    progress.kill()
    return [caller.value for caller in callers if caller.value is not None]


def _draw_send_times(scenario: Scenario, index: int, stream: Stream) -> Iterator[float]:
    rng = random.Random(f'{scenario.seed}-{index}-{stream.name}')
    at = rng.expovariate(stream.rate_per_s)
    while at < scenario.duration_s:
        yield at
        at += rng.expovariate(stream.rate_per_s)


def _show_progress(callers: list[gevent.Greenlet], planned: int) -> None:
    while True:
        gevent.sleep(PROGRESS_INTERVAL_S)
        ended = sum(caller.ready() for caller in callers)
        print(f'{len(callers)} of {planned} sent, {ended} ended', flush=True)


def main(argv: list[str]) -> int:
    """Run the load tool.

    :param argv: command line without the flags
    :returns: a result code
    """
    try:
        scenario = read_settings(_SCENARIO.value, Scenario)
    except SettingsError as exc:
        print(f'error {int(exc.code)}: {exc.message}', file=sys.stderr)
        return exc.code
    observations = run_scenario(scenario, SystemClock())
    report = build_report(scenario, observations)
    print(format_table(report))
    if _REPORT.value:
        sent = sum(stream.copies for _, stream, _ in plan_requests(scenario))
        lost = sent - len(observations)
        data = {'seed': scenario.seed, 'lost': lost, 'classes': report}
        data['observations'] = [entry._asdict() for entry in observations]
        pathlib.Path(_REPORT.value).write_text(json.dumps(data))
    return 0


if __name__ == '__main__':
    flags.mark_flag_as_required('scenario')
    app.run(main)
