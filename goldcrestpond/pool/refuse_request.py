"""Action: give a request its final answer."""

from dataclasses import dataclass

from ..errors.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer at once that the request did not run.

    Attributes
    ----------
    request_id : int
        The request.
    code : ResultCode
        QUEUE_DEADLINE, OVERLOADED, ENDPOINT_UNREACHABLE or ENDPOINT_LEAVING.
    retry_after_ms : int
        When the caller may ask again.
    """

    request_id: int
    code: ResultCode
    retry_after_ms: int
