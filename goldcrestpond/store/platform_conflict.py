"""The refusal of a conditional write."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .row import Row


class PlatformConflict(CodedError):
    """A conditional write met rows of other revisions; nothing was written.

    A writer that repeats a write after a lost answer may meet its own first
    write here: compare the present rows with what was to be written.

    Parameters
    ----------
    rows : list of Row
        Present rows whose revision differs; a missing row has revision 0.
    """

    __slots__ = ("rows",)

    def __init__(self, rows: list[Row]):
        keys = ", ".join(row.key for row in rows)
        super().__init__(ResultCode.PLATFORM_CONFLICT, f"changed meanwhile: {keys}")
        self.rows = rows
