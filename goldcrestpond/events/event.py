"""One record of the time line."""

from datetime import datetime

import msgspec


class Event(msgspec.Struct, omit_defaults=True):
    """Something that happened in one process.

    Attributes
    ----------
    wall_time : datetime
        Wall time in UTC; clocks of instances differ.
    instance : str
        Name of the instance.
    part : str
        Part that speaks, for instance ``term``.
    event : str
        Kind of event, for instance ``promotion_started``.
    sequence : int
        Count within the process, which orders its own records.
    request : str
        Request, if the event belongs to one.
    group : str
        Database group, if the event belongs to one.
    after : str
        ``instance:sequence`` of a record known to come before this one.
    detail : dict of str to str
        Further facts.
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
