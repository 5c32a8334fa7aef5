"""Runs the script of a case: ``python3 -m standins_2.run_case NUMBER``."""

import asyncio
import importlib.util
import os
import sys
import tempfile
import traceback
from pathlib import Path

from .instance import Instance

CANNOT_RUN = 2


class Case:
    """What a case's script is given.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption is to happen.
    folder : Path
        Temporary folder for settings and logs.
    """

    def __init__(self, number: str, folder: Path):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self._instances: list[Instance] = []
        self._record = Path(__file__).resolve().parents[1] / number / "record.txt"
        self._record.write_text("")

    def note(self, text: str) -> None:
        """Write a line to the record and to the output."""
        print(text, flush=True)
        with self._record.open("a") as record:
            record.write(text + "\n")

    def add_instance(self, name: str, zone: str, store_port: int, **more) -> Instance:
        """Start an instance, which is ended with the case."""
        instance = Instance(name, zone, store_port, self.folder, **more)
        self._instances.append(instance)
        instance.start()
        return instance

    def end(self) -> None:
        """End all processes that the case has started."""
        for instance in self._instances:
            instance.end()


def main() -> int:
    """Run a case; return 1 if its rule was broken, 0 if it held, 2 otherwise."""
    number = sys.argv[1]
    path = Path(__file__).resolve().parents[1] / number / "case.py"
    spec = importlib.util.spec_from_file_location("case", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    keep = os.environ.get("KEEP")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(number, Path(keep or folder))
        try:
            return asyncio.run(asyncio.wait_for(module.run(case), 110))
        except Exception:
            traceback.print_exc()
            return CANNOT_RUN
        finally:
            case.end()


if __name__ == "__main__":
    sys.exit(main())
