"""Counts of an audit."""

import msgspec


class Audit(msgspec.Struct):
    """What callers were told, compared with the surviving database.

    Attributes
    ----------
    acknowledged : int
        Writes acknowledged.
    refused : int
        Writes told to be not run.
    unknown : int
        Writes whose outcome the caller was not told.
    lost : int
        Acknowledged writes that are missing.
    doubled : int
        Writes that are there more than once.
    not_run_but_ran : int
        Writes told to be not run that are there.
    torn : int
        Transactions of which only a part is there.
    acknowledged_by_replaced : int
        Acknowledgements whose position belongs to a term that had ended.
    unrequested : int
        Rows that no caller wrote.
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
