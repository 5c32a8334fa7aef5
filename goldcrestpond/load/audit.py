"""Counts that an audit returns."""

import msgspec


class Audit(msgspec.Struct):
    """Outcomes reported to callers, compared with the rows of the database.

    Attributes
    ----------
    acknowledged : int
        Writes acknowledged.
    refused : int
        Writes that were reported as not run.
    unknown : int
        Writes whose outcome was not reported to the caller.
    lost : int
        Acknowledged writes that the database lacks.
    doubled : int
        Writes that the database holds more than once.
    not_run_but_ran : int
        Writes that were reported as not run but that the database holds.
    torn : int
        Transactions of which the database holds only some rows.
    acknowledged_by_replaced : int
        Acknowledgements by a primary that was already replaced: the surviving log
        lacks their log position or holds another term there.
    unrequested : int
        Writes in the database that no caller sent.
    """

    acknowledged: int = 0
    refused: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    not_run_but_ran: int = 0
    torn: int = 0
    acknowledged_by_replaced: int = 0
    unrequested: int = 0
