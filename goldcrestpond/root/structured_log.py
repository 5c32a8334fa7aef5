"""Structured log lines on standard output, rate-limited and non-blocking."""

import os
import sys
from datetime import timedelta

import msgspec

from ..clock.clock import Clock

# Refill rate and capacity of a token bucket; a busy instance logs a few dozen decisions
# a second.
LINES_PER_S = 100.0
LINES_BURST = 400.0
# Lines contain ids that callers choose. Requests with longer ids are not served.
TEXT_LIMIT_CHARACTERS = 1000
_STDOUT = 1


class StructuredLog:
    """Writes one JSON object per line to standard output.

    Lines beyond the rate limit, and lines that standard output does not accept
    without blocking, are dropped; the next written line contains their number.

    Parameters
    ----------
    instance : str
        Name of the instance.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_dropped_count",
        "_encoder",
        "_refilled_at",
        "_instance",
        "_tokens",
    )

    def __init__(self, instance: str, clock: Clock):
        self._instance = instance
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._dropped_count = 0
        self._tokens = LINES_BURST
        self._refilled_at = clock.now()
        sys.stdout.flush()
        os.set_blocking(_STDOUT, False)

    def decision(self, event: str, **fields: object) -> None:
        """Write a decision with its inputs; a rate limit or a full pipe may drop it."""
        if not self._take_token(self._clock.now()):
            self._dropped_count += 1
            return
        line = {
            "time": self._clock.wall().isoformat(timespec="milliseconds"),
            "instance": self._instance,
            "event": event,
            **{name: _truncate(value) for name, value in fields.items()},
        }
        if self._dropped_count:
            line["dropped_lines"] = self._dropped_count
        self._write(self._encoder.encode(line) + b"\n")

    def _write(self, data: bytes) -> None:
        try:
            written_bytes = os.write(_STDOUT, data)
        except OSError:  # the pipe is full or has no reader
            self._dropped_count += 1
            return
        # A partial write means that the pipe is full; the rest of the line is lost.
        self._dropped_count = 0 if written_bytes == len(data) else 1

    def _take_token(self, now: timedelta) -> bool:
        elapsed_s = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(LINES_BURST, self._tokens + elapsed_s * LINES_PER_S)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _truncate(value: object) -> object:
    is_long = isinstance(value, str) and len(value) > TEXT_LIMIT_CHARACTERS
    return value[:TEXT_LIMIT_CHARACTERS] if is_long else value
