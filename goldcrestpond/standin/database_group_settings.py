"""Settings of the database group stand-in."""

import msgspec


class StandinDatabase(msgspec.Struct, forbid_unknown_fields=True):
    """One database of the group.

    Attributes
    ----------
    name : str
        Name within the group.
    address : str
        ``IP:PORT`` to listen on; port 0 lets the operating system choose.
    """

    name: str
    address: str = "127.0.0.1:0"


class DatabaseGroupSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a group of databases in one process.

    The first database starts as the primary.

    Attributes
    ----------
    databases : list of StandinDatabase
        Members of the group.
    schema : list of str
        Statements that form the first log entry of every database.
    slot_limit : int
        Statements that one database runs concurrently; further ones wait.
    connection_limit : int
        Open connections of one database; further ones are refused with
        SQLSTATE 53300.
    connection_delay_ms : float
        Delay before a new connection's startup message is answered.
    statement_delay_ms : float
        Service time of each statement, during which it occupies a slot.
    receive_delay_ms : float
        Time from a commit to its receipt by a follower.
    replay_lag_ms : float
        Time from the receipt until reads of the follower show the entry.
    password : str
        If not empty, connections authenticate by SCRAM-SHA-256.
    """

    databases: list[StandinDatabase]
    schema: list[str] = []
    slot_limit: int = 5
    connection_limit: int = 35
    connection_delay_ms: float = 0.0
    statement_delay_ms: float = 0.0
    receive_delay_ms: float = 1.0
    replay_lag_ms: float = 0.0
    password: str = ""
