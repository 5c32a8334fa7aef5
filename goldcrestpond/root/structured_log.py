"""Structured log lines on standard output, bounded and never blocking."""

import os
import sys
from datetime import timedelta

import msgspec

from ..clock.clock import Clock

LINES_PER_S = 100.0  # a busy instance makes a few dozen decisions a second
LINES_BURST = 400.0
# A line holds ids that callers choose; a longer one names no request that is served.
TEXT_LIMIT_CHARACTERS = 1000
_STDOUT = 1


class StructuredLog:
    """Writes one JSON object a line.

    Lines beyond the rate, and lines that standard output does not take at once,
    are dropped and counted; the next line that is written says how many.

    Parameters
    ----------
    instance : str
        Name of the instance.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_dropped", "_encoder", "_filled_at", "_instance", "_tokens")

    def __init__(self, instance: str, clock: Clock):
        self._instance = instance
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._dropped = 0
        self._tokens = LINES_BURST
        self._filled_at = clock.now()
        sys.stdout.flush()
        os.set_blocking(_STDOUT, False)

    def decision(self, event: str, **fields: object) -> None:
        """Write what was decided, with the inputs that decided it."""
        if not self._take(self._clock.now()):
            self._dropped += 1
            return
        line = {
            "time": self._clock.wall().isoformat(timespec="milliseconds"),
            "instance": self._instance,
            "event": event,
            **{name: _shortened(value) for name, value in fields.items()},
        }
        if self._dropped:
            line["dropped_lines"] = self._dropped
        self._write(self._encoder.encode(line) + b"\n")

    def _write(self, data: bytes) -> None:
        try:
            written = os.write(_STDOUT, data)
        except OSError:  # nobody reads, or not fast enough
            self._dropped += 1
            return
        # A part of a line can only be cut by a full pipe; the rest is lost.
        self._dropped = 0 if written == len(data) else 1

    def _take(self, now: timedelta) -> bool:
        elapsed_s = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(LINES_BURST, self._tokens + elapsed_s * LINES_PER_S)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _shortened(value: object) -> object:
    is_long = isinstance(value, str) and len(value) > TEXT_LIMIT_CHARACTERS
    return value[:TEXT_LIMIT_CHARACTERS] if is_long else value
