"""``goldcrestpond-soak``: the real program under random faults, with checkers."""

import sys

import msgspec

from ..soak.run_soak import run_soak
from .run_program import run_commands, run_program


def run(seed: int = 1, duration_s: float = 30, processes: int = 4) -> None:
    """Run one soak and print its report; exit with 1 if a promise was broken.

    Parameters
    ----------
    seed : int, default=1
        Seed of callers and faults.
    duration_s : float, default=30
        Time under load.
    processes : int, default=4
        Instances.
    """

    async def run_and_print() -> None:
        report = await run_soak(seed, duration_s, processes)
        print(msgspec.json.encode(report).decode(), flush=True)
        if report.findings:
            sys.exit(1)

    run_program(run_and_print)


def main() -> None:
    """Run the command line."""
    run_commands({"run": run})


if __name__ == "__main__":
    main()
