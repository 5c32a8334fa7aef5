"""Action: refuse a request."""

from dataclasses import dataclass

from ..errors.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer a request with an error; it has not run.

    Attributes
    ----------
    request_id : int
        Number of the request.
    code : ResultCode
        QUEUE_DEADLINE, OVERLOADED, ENDPOINT_UNREACHABLE or ENDPOINT_LEAVING.
    retry_after_ms : int
        Time after which the caller may try again.
    """

    request_id: int
    code: ResultCode
    retry_after_ms: int
