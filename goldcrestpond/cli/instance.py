"""``python3 -m goldcrestpond.cli.instance``: the proxy on the users' platform."""

import os
import sys

import anyio

from ..errors.coded_error import CodedError
from ..errors.exit_status import exit_status
from ..platform.instance_settings import PATH_VARIABLE
from ..root.instance import run_instance


def main() -> None:
    """Run until SIGTERM, with the settings file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        anyio.run(run_instance, path)
    except* CodedError as group:
        error = group.exceptions[0]
        print(error, file=sys.stderr)
        code = error.code if isinstance(error, CodedError) else None
        sys.exit(exit_status(code) if code else 1)


if __name__ == "__main__":
    main()
