"""The attempts to carry out one change."""

from dataclasses import dataclass
from datetime import timedelta

from ..configuration.change_request import ChangeRequest
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


@dataclass(slots=True)
class ChangeAttempts:
    """State of a change that is tried until its deadline.

    Attributes
    ----------
    request : ChangeRequest
        The change.
    key : str
        Idempotency key of all attempts.
    deadline : timedelta
        Monotonic reading after which it is given up.
    may_have_taken_effect : bool
        True if an attempt, or an earlier request with the key, may have
        written.
    count : int
        Attempts so far.
    """

    request: ChangeRequest
    key: str
    deadline: timedelta
    may_have_taken_effect: bool
    count: int = 0

    def gave_up(self) -> CodedError:
        """Return the error that ends the attempts."""
        if self.may_have_taken_effect:
            detail = (
                f"the outcome is unknown; ask again with Idempotency-Key {self.key}"
            )
        else:
            detail = "the store does not answer; nothing was changed"
        return CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
