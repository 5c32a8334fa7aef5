"""An event with its place in the file that holds it."""

from dataclasses import dataclass

from ..events.event import Event


@dataclass(frozen=True, slots=True)
class Record:
    """An event of one run of a process.

    Attributes
    ----------
    event : Event
        The event.
    run : int
        Count of the instance's runs before this one: a process that starts
        again under the same name numbers its events from 1 again.
    """

    event: Event
    run: int
