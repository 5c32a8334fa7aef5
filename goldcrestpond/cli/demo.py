"""``goldcrestpond-demo``: a whole site on loopback in one process.

A site consists of proxies and of stand-ins for the platform and the databases.
"""

import functools
import logging
import sys
from dataclasses import replace

import anyio
import msgspec

from ..clock.system_clock import SystemClock
from ..demo.report import render_report
from ..demo.scenario import PROXY_COUNT, make_demo_scenario
from ..load.run_load import run_scenario
from ..root.local_site import run_local_site
from ..root.logs import configure_logs
from .run_program import run_commands, run_program

_FAILED_EXIT_STATUS = 1


def run(seed: int = 1, duration_s: float = 6.0) -> None:
    """Run a site under load, kill its primary once and check the callers' answers.

    Prints a report, then one JSON line; the exit status is 1 if a promise
    to callers was broken.

    Parameters
    ----------
    seed : int, default=1
        Seed of the random choices.
    duration_s : float, default=6.0
        Time under load.
    """
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    result = anyio.run(
        functools.partial(
            run_scenario,
            "demo",
            make_demo_scenario(seed),
            seed,
            duration_s,
            SystemClock(),
        )
    )
    print(render_report(result))
    print(msgspec.json.encode(result).decode(), flush=True)
    if result.broken_promises:
        sys.exit(_FAILED_EXIT_STATUS)


def serve(caller_port: int = 6432, api_port: int = 6480) -> None:
    """Run a site until SIGTERM; print ``ready`` when it accepts callers.

    Callers connect to ``127.0.0.1`` with database ``fuel`` and user ``demo``.

    Parameters
    ----------
    caller_port : int, default=6432
        Port of the first proxy; the second listens on the next port.
    api_port : int, default=6480
        Port of the resource API.
    """
    configure_logs("WARNING")
    run_program(lambda: _serve(caller_port, api_port))


async def _serve(caller_port: int, api_port: int) -> None:
    site = replace(
        make_demo_scenario(1).site,
        proxy_count=PROXY_COUNT,
        caller_port=caller_port,
        api_port=api_port,
    )
    async with run_local_site(site):
        print("ready", flush=True)
        await anyio.sleep_forever()


def main() -> None:
    """Run the command line."""
    run_commands({"run": run, "serve": serve})
