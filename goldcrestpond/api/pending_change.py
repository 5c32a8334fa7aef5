"""A change that is being attempted."""

from dataclasses import dataclass

from ..configuration.change_request import ChangeRequest
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


@dataclass(slots=True)
class PendingChange:
    """State that all attempts of one change share.

    Attributes
    ----------
    request : ChangeRequest
        The change.
    key : str
        Idempotency key of all attempts.
    may_have_taken_effect : bool
        True if an attempt, or an earlier request with the same key, may have
        been written.
    """

    request: ChangeRequest
    key: str
    may_have_taken_effect: bool

    def make_timeout_error(self) -> CodedError:
        """Return the error for a change whose attempts did not end in time."""
        if self.may_have_taken_effect:
            detail = (
                "the outcome is unknown; repeat the request with Idempotency-Key "
                f"{self.key}"
            )
        else:
            detail = "the store does not answer; nothing was changed"
        return CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
