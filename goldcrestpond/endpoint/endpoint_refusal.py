"""Error with which an endpoint refuses a login or a statement of the proxy."""

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

TOO_MANY_CONNECTIONS = "53300"


class EndpointRefusal(CodedError):
    """The endpoint answered with an error; the statement did not take effect.

    Parameters
    ----------
    sqlstate : str
        SQLSTATE that the endpoint sent.
    message : str
        Message that the endpoint sent.
    """

    __slots__ = ("sqlstate",)

    def __init__(self, sqlstate: str, message: str):
        is_full = sqlstate == TOO_MANY_CONNECTIONS
        code = ResultCode.ENDPOINT_FULL if is_full else ResultCode.ENDPOINT_REFUSED
        super().__init__(code, f"{sqlstate} {message}")
        self.sqlstate = sqlstate
