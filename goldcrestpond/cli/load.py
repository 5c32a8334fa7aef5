"""``goldcrestpond-load``: runs a scenario and prints its figures."""

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

_FAILED = 1


def load(
    scenario: str,
    *files: str,
    seed: int = 1,
    duration_s: float = 10.0,
    output: str = "",
) -> None:
    """Run one scenario and print one JSON object, or report on such objects.

    The exit status is 1 if a promise was broken.

    Parameters
    ----------
    scenario : str
        Name of the scenario, or ``report``.
    *files : str
        Files with results, for ``report``.
    seed : int, default=1
        Seed of all choices.
    duration_s : float, default=10.0
        Time under load.
    output : str, default=""
        File for the JSON object or the page; empty prints it.
    """
    if scenario == "report":
        _write(render_report(read_results(files)).encode(), output)
        return
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    scenarios = make_scenarios(seed, duration_s)
    if scenario not in scenarios:
        sys.exit(f"no scenario {scenario!r}; there are {', '.join(scenarios)}")
    run = functools.partial(
        run_scenario, scenario, scenarios[scenario], seed, duration_s, SystemClock()
    )
    result = anyio.run(run)
    _write(msgspec.json.encode(result) + b"\n", output)
    if result.broken_promises:
        sys.exit(_FAILED)


def _write(data: bytes, output: str) -> None:
    if output:
        Path(output).write_bytes(data)
        return
    sys.stdout.buffer.write(data)
    sys.stdout.flush()


def main() -> None:
    """Run the command line."""
    run_commands(load)
