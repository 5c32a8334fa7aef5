"""State of a transaction of one connection."""

from dataclasses import dataclass, field

from .log_entry import Write


@dataclass(slots=True)
class Transaction:
    """State of an open transaction.

    Attributes
    ----------
    is_explicit : bool
        Whether it was begun by BEGIN; False for the implicit transaction of a
        simple query or pipeline.
    read_only : bool
        Whether writes are refused.
    saved_settings : dict of str to str
        Session settings to restore at a rollback.
    is_failed : bool
        Whether a statement has failed and nothing was rolled back since.
    writes : list of Write
        Write statements so far.
    savepoints : list of tuple
        Name of each savepoint and the number of writes before it.
    local_settings : set of str
        Settings made by SET LOCAL, which end with the transaction.
    """

    is_explicit: bool
    read_only: bool
    saved_settings: dict[str, str]
    is_failed: bool = False
    writes: list[Write] = field(default_factory=list)
    savepoints: list[tuple[str, int]] = field(default_factory=list)
    local_settings: set[str] = field(default_factory=set)
