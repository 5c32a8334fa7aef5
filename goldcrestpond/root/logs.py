"""Configures the logging of a process."""

import logging
import sys

LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"


def configure_logs(level: str) -> None:
    """Write log records of this level and above to standard error."""
    logging.basicConfig(stream=sys.stderr, format=LINE_FORMAT, level=level.upper())
    logging.getLogger("httpx").setLevel(logging.WARNING)
