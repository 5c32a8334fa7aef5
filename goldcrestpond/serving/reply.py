"""Reply to one statement."""

from dataclasses import dataclass, field

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from .transaction_state import TransactionState


@dataclass(slots=True)
class Reply:
    """A complete reply, from a database or from this process.

    Attributes
    ----------
    rows : list of str
        Rows as received from the database.
    receipt : str
        The database's signature of the execution; empty if no database ran it.
    error : ResultCode or None
        Error with which the statement was refused or failed.
    detail : str
        Text that goes with ``error``.
    state : TransactionState
        Transaction state after the statement.
    position : LogPosition or None
        Position of the database's log after the statement.
    """

    rows: list[str] = field(default_factory=list)
    receipt: str = ""
    error: ResultCode | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None

    def raise_error(self) -> None:
        """Raise the error of this reply, if it has one."""
        if self.error is not None:
            raise CodedError(self.error, self.detail)
