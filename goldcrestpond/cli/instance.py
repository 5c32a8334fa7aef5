"""``python3 -m goldcrestpond.cli.instance``: the proxy on the users' platform."""

import os
import sys
import time

# Read before the imports that take most of a start: on a slow machine they take as long
# as a second.
_STARTED_AT_S = time.clock_gettime(time.CLOCK_BOOTTIME)

# ruff: noqa: E402
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.exit_status import exit_status
from ..platform.instance_settings import PATH_VARIABLE
from ..root.instance import run_instance


def main() -> None:
    """Run until SIGTERM, with the settings file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        anyio.run(run_instance, path, timedelta(seconds=_STARTED_AT_S))
    except* CodedError as group:
        error = group.exceptions[0]
        print(error, file=sys.stderr)
        code = error.code if isinstance(error, CodedError) else None
        sys.exit(exit_status(code) if code else 1)


if __name__ == "__main__":
    main()
