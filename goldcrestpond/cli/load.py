"""``goldcrestpond-load``: runs a scenario and prints its figures."""

import functools
import logging
import sys

import anyio
import fire
import msgspec

from ..clock.system_clock import SystemClock
from ..load.run_load import run_scenario
from ..load.scenarios import make_scenarios

_FAILED = 1


def load(scenario: str, seed: int = 1, duration_s: float = 10.0, output: str = ""):
    """Run one scenario and print one JSON object.

    The exit status is 1 if a promise was broken.

    Parameters
    ----------
    scenario : str
        Name of the scenario.
    seed : int, default=1
        Seed of all choices.
    duration_s : float, default=10.0
        Time under load.
    output : str, default=""
        File for the JSON object; empty prints it.
    """
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    scenarios = make_scenarios(seed, duration_s)
    if scenario not in scenarios:
        sys.exit(f"no scenario {scenario!r}; there are {', '.join(scenarios)}")
    run = functools.partial(
        run_scenario, scenario, scenarios[scenario], seed, duration_s, SystemClock()
    )
    result = anyio.run(run)
    line = msgspec.json.encode(result)
    if output:
        with open(output, "wb") as file:
            file.write(line + b"\n")
    else:
        print(line.decode(), flush=True)
    if result.broken_promises:
        sys.exit(_FAILED)


def main() -> None:
    """Run the command line."""
    fire.Fire(load)
