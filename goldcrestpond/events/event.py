"""The record of one event."""

from datetime import datetime

import msgspec


class Event(msgspec.Struct, omit_defaults=True):
    """Something that happened in one process.

    Attributes
    ----------
    wall_time : datetime
        Wall time in UTC; the clocks of instances may differ.
    instance : str
        Name of the instance.
    part : str
        Component that recorded the event, for instance ``term``.
    event : str
        Kind of event, for instance ``promotion_started``.
    sequence : int
        Number of the event within the process, counted from 1.
    request : str
        Id of the request, if the event belongs to one.
    group : str
        Name of the database group, if the event belongs to one.
    after : str
        ``instance:sequence`` of an event that is known to precede this one.
    detail : dict of str to str
        Further details by name.
    """

    wall_time: datetime
    instance: str
    part: str
    event: str
    sequence: int = 0
    request: str = ""
    group: str = ""
    after: str = ""
    detail: dict[str, str] = {}
