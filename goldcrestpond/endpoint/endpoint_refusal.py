"""An endpoint's own error answer to a statement of the proxy."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


class EndpointRefusal(CodedError):
    """The endpoint answered with an error; the statement did not take effect.

    Parameters
    ----------
    sqlstate : str
        SQLSTATE of the endpoint.
    message : str
        Message of the endpoint.
    """

    __slots__ = ("sqlstate",)

    def __init__(self, sqlstate: str, message: str):
        super().__init__(ResultCode.ENDPOINT_REFUSED, f"{sqlstate} {message}")
        self.sqlstate = sqlstate
