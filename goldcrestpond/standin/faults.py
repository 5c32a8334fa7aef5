"""Faults and delays of one database, which can be set at any time."""

from dataclasses import dataclass, fields

from .database_error import DatabaseError


@dataclass(slots=True)
class Faults:
    """Injected faults and delays of one database.

    Attributes
    ----------
    refuse : bool
        New connections are closed immediately.
    hang : bool
        New connections are accepted and never answered.
    partition_peers : bool
        Nothing is replicated to or from this database.
    partition_callers : bool
        Bytes from and to callers are delayed until the partition heals.
    cut : int
        Number of following answers that are cut off halfway, closing the
        connection.
    lose_answer : int
        Number of following commits that take effect but are not answered, closing
        the connection.
    statement_delay_ms : float
        Service time of each statement.
    receive_delay_ms : float
        Time from a commit on the primary to its receipt here.
    replay_lag_ms : float
        Time from the receipt until reads show the entry.
    """

    refuse: bool = False
    hang: bool = False
    partition_peers: bool = False
    partition_callers: bool = False
    cut: int = 0
    lose_answer: int = 0
    statement_delay_ms: float = 0.0
    receive_delay_ms: float = 0.0
    replay_lag_ms: float = 0.0

    def set(self, name: str, value: str) -> None:
        """Set one fault from text.

        Raises
        ------
        DatabaseError
            If there is no such fault or the value is not a number.
        """
        kinds = {field.name: field.type for field in fields(self)}
        if name not in kinds:
            raise DatabaseError("22023", f"no fault is named {name!r}")
        try:
            number = float(value or 0)
        except ValueError as error:
            raise DatabaseError("22023", f"{value!r} is not a number") from error
        setattr(self, name, kinds[name](number))
