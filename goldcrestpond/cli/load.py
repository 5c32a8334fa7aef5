"""``goldcrestpond-load``: runs a load scenario and prints its results."""

import functools
import logging
import sys
from pathlib import Path

import anyio
import msgspec

from ..clock.system_clock import SystemClock
from ..load.report import read_results, render_report
from ..load.run_load import run_scenario
from ..load.scenarios import make_scenarios
from .run_program import run_commands

_FAILED_EXIT_STATUS = 1


def load(
    scenario: str,
    *files: str,
    seed: int = 1,
    duration_s: float = 10.0,
    output: str = "",
) -> None:
    """Run one scenario and print its result, or print a report on several results.

    A result is one JSON object. The exit status is 1 if a promise to callers was
    broken.

    Parameters
    ----------
    scenario : str
        Name of the scenario, or ``report`` for a report on results.
    *files : str
        Files with results; only for ``report``.
    seed : int, default=1
        Seed of the random choices.
    duration_s : float, default=10.0
        Time under load.
    output : str, default=""
        File for the result or the report; empty for standard output.
    """
    if scenario == "report":
        _write(render_report(read_results(files)).encode(), output)
        return
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    scenarios = make_scenarios(seed, duration_s)
    if scenario not in scenarios:
        sys.exit(f"unknown scenario {scenario!r}; known: {', '.join(scenarios)}")
    run = functools.partial(
        run_scenario, scenario, scenarios[scenario], seed, duration_s, SystemClock()
    )
    result = anyio.run(run)
    _write(msgspec.json.encode(result) + b"\n", output)
    if result.broken_promises:
        sys.exit(_FAILED_EXIT_STATUS)


def _write(data: bytes, output: str) -> None:
    if output:
        Path(output).write_bytes(data)
        return
    sys.stdout.buffer.write(data)
    sys.stdout.flush()


def main() -> None:
    """Run the command line."""
    run_commands(load)
