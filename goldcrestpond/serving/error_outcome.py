"""What an error says about whether a statement has run."""

from ..errors.result_code import ResultCode
from ..retry.attempt_outcome import AttemptOutcome

# Errors after which a statement has certainly not run: refusals by the database, and
# errors raised before anything was sent.
NOT_RUN = frozenset(
    {
        ResultCode.ENDPOINT_BUSY,
        ResultCode.ENDPOINT_FULL,
        ResultCode.NO_FRESH_REPLICA,
        ResultCode.PRIMARY_REPLACED,
        ResultCode.STATEMENT_UNKNOWN,
        ResultCode.WRONG_ENDPOINT,
        # Raised before anything was sent.
        ResultCode.COMMITS_STALLED,
        ResultCode.ENDPOINT_LEAVING,
        ResultCode.ENDPOINT_UNREACHABLE,
        ResultCode.HOME_UNREACHABLE,
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.NO_PRIMARY,
        ResultCode.OVERLOADED,
        ResultCode.QUEUE_DEADLINE,
        ResultCode.RATE_EXCEEDED,
    }
)
# Raised only after a wait for a leader, or for commits to go on, or for reasons that
# last for longer than an attempt: not retried.
_NOT_RETRIED = frozenset(
    {
        ResultCode.COMMITS_STALLED,
        ResultCode.IDENTITY_UNPROVEN,
        ResultCode.NO_PRIMARY,
        ResultCode.RATE_EXCEEDED,
    }
)
# Errors after which another attempt may succeed.
RETRYABLE = (NOT_RUN - _NOT_RETRIED) | {
    ResultCode.ANSWER_INTERRUPTED,
    ResultCode.ENDPOINT_REFUSED,
}


def get_attempt_outcome(code: ResultCode) -> AttemptOutcome:
    """Return what the code of an error says about whether the statement has run."""
    return AttemptOutcome.NOT_RUN if code in NOT_RUN else AttemptOutcome.INTERRUPTED
