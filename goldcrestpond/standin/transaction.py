"""A transaction of one connection."""

from dataclasses import dataclass, field

from .log_entry import Write


@dataclass(slots=True)
class Transaction:
    """What a connection keeps between BEGIN and its end.

    Attributes
    ----------
    is_explicit : bool
        False for the transaction of a single query or pipeline.
    read_only : bool
        Whether writes are refused.
    saved_settings : dict of str to str
        Session settings to return to at a rollback.
    is_failed : bool
        True after an error, until its end.
    writes : list of Write
        Its writes so far.
    savepoints : list of tuple
        Name of each savepoint with the count of writes before it.
    local_settings : set of str
        Settings that end with the transaction.
    """

    is_explicit: bool
    read_only: bool
    saved_settings: dict[str, str]
    is_failed: bool = False
    writes: list[Write] = field(default_factory=list)
    savepoints: list[tuple[str, int]] = field(default_factory=list)
    local_settings: set[str] = field(default_factory=set)
