"""What an error answer of a database says about the run."""

from ..errors.result_code import ResultCode
from ..retry.attempt_outcome import AttemptOutcome

# Errors with which a database says that a statement has not run.
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
        ResultCode.NO_PRIMARY,
        ResultCode.OVERLOADED,
        ResultCode.QUEUE_DEADLINE,
    }
)
# Errors after which another attempt may find what this one lacked. Waiting for a
# leader, or for commits to go on, has been done before it is said that there is none.
PASSING = (NOT_RUN - {ResultCode.NO_PRIMARY, ResultCode.COMMITS_STALLED}) | {
    ResultCode.ANSWER_INTERRUPTED,
    ResultCode.ENDPOINT_REFUSED,
}


def evidence_of(code: ResultCode) -> AttemptOutcome:
    """Return how far a statement that failed with a code has come."""
    return AttemptOutcome.NOT_RUN if code in NOT_RUN else AttemptOutcome.INTERRUPTED
