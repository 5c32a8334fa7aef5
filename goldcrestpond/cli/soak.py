"""``goldcrestpond-soak``: runs instances under random faults and checks them."""

import sys

import msgspec

from ..soak.run_soak import run_soak
from ..soak.soak_plan import SoakPlan, load_plan
from .run_program import run_commands, run_program


def run(
    seed: int = 1,
    duration_s: float = 30,
    processes: int = 6,
    plan: str = "",
    logs: str = "",
) -> None:
    """Run one soak test and print its report; the exit status is 1 if a check failed.

    Parameters
    ----------
    seed : int, default=1
        Seed of the callers' requests and the faults.
    duration_s : float, default=30
        Time under load.
    processes : int, default=4
        Number of instances.
    plan : str, default=""
        Path of a plan in TOML, which may have a duration and a number of instances of
        its own; empty for random series of faults.
    logs : str, default=""
        Folder for the logs; if empty, they are kept only if a check failed.
    """
    soak_plan = load_plan(plan) if plan else SoakPlan()

    async def run_and_print() -> None:
        report = await run_soak(seed, duration_s, processes, soak_plan, logs)
        print(msgspec.json.encode(report).decode(), flush=True)
        if report.findings:
            sys.exit(1)

    run_program(run_and_print)


def main() -> None:
    """Run the command line."""
    run_commands({"run": run})


if __name__ == "__main__":
    main()
