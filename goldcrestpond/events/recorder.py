"""Records the events of one process as JSON lines."""

from collections.abc import Callable

import msgspec

from ..clock.clock import Clock
from .event import Event


class EventRecorder:
    """Numbers the events of one process and passes each to a sink as a JSON line.

    Parameters
    ----------
    instance : str
        Name of the instance.
    clock : Clock
        Source of wall time.
    write_line : callable
        Receives one encoded line, newline included; must not block.
    """

    __slots__ = ("_clock", "_encoder", "_instance", "_sequence", "_write_line")

    def __init__(
        self, instance: str, clock: Clock, write_line: Callable[[bytes], object]
    ):
        self._instance = instance
        self._clock = clock
        self._write_line = write_line
        self._sequence = 0
        self._encoder = msgspec.json.Encoder()

    def record(
        self,
        part: str,
        event: str,
        *,
        request: str = "",
        group: str = "",
        after: str = "",
        **detail: object,
    ) -> str:
        """Record one event; the keywords in ``detail`` become its details.

        Returns
        -------
        str
            ``instance:sequence`` of the record, for the ``after`` of a later event.
        """
        self._sequence += 1
        record = Event(
            wall_time=self._clock.wall(),
            instance=self._instance,
            part=part,
            event=event,
            sequence=self._sequence,
            request=request,
            group=group,
            after=after,
            detail={key: str(value) for key, value in detail.items()},
        )
        self._write_line(self._encoder.encode(record) + b"\n")
        return f"{self._instance}:{self._sequence}"
