"""An event together with the run of its instance."""

from dataclasses import dataclass

from ..events.event import Event


@dataclass(frozen=True, slots=True)
class Record:
    """An event, and the run of the process that recorded it.

    Attributes
    ----------
    event : Event
        The event.
    run : int
        Number of runs of the instance before this one. A restarted process has the
        same name and numbers its events from 1 again.
    """

    event: Event
    run: int
