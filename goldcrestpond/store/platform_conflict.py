"""Error of a conditional write whose condition does not hold."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .row import Row


class PlatformConflict(CodedError):
    """Rows do not have the expected revisions; nothing was written.

    A write that is repeated after a lost answer may conflict with its own first
    attempt: compare the current rows with what was to be written.

    Parameters
    ----------
    rows : list of Row
        Current rows whose revision differs; a missing row has revision 0.
    """

    __slots__ = ("rows",)

    def __init__(self, rows: list[Row]):
        keys = ", ".join(row.key for row in rows)
        super().__init__(ResultCode.PLATFORM_CONFLICT, f"changed meanwhile: {keys}")
        self.rows = rows
