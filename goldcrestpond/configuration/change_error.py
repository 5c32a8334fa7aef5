"""Error raised for a refused change of a resource."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .fault import Fault
from .resource import Resource


class ChangeError(CodedError):
    """A change was refused and has no effect.

    Parameters
    ----------
    code : ResultCode
        The numbered result.
    detail : str
        What happened, in one short sentence.
    faults : list of Fault, optional
        Every fault of the body.
    current : Resource, optional
        The resource as it is now, if the change expected another version.
    """

    __slots__ = ("current", "faults")

    def __init__(
        self,
        code: ResultCode,
        detail: str,
        faults: list[Fault] | None = None,
        current: Resource | None = None,
    ):
        super().__init__(code, detail)
        self.faults = faults or []
        self.current = current
