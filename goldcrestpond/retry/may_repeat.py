"""Rule for which failed requests may be run again."""

from .attempt_outcome import AttemptOutcome


def may_repeat(
    attempt_outcome: AttemptOutcome, is_read_only: bool, is_idempotent: bool
) -> bool:
    """Return whether a request may run again without the risk of taking effect twice.

    Parameters
    ----------
    attempt_outcome : AttemptOutcome
        Outcome of the failed attempt.
    is_read_only : bool
        Whether the endpoint enforced that the request changes nothing.
    is_idempotent : bool
        Whether the caller declared the request idempotent.
    """
    if attempt_outcome is AttemptOutcome.NOT_RUN:
        return True
    if attempt_outcome is AttemptOutcome.INTERRUPTED:
        return is_read_only or is_idempotent
    return False
