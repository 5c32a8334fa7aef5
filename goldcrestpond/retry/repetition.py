"""Whether a failed request may be run again."""

from .attempt_outcome import AttemptOutcome


def may_repeat(
    attempt_outcome: AttemptOutcome, is_read_only: bool, is_idempotent: bool
) -> bool:
    """Return whether running a request again can do no harm.

    Parameters
    ----------
    attempt_outcome : Evidence
        What is known of the failed attempt.
    is_read_only : bool
        Whether the endpoint enforced that it changes nothing.
    is_idempotent : bool
        Whether the caller declared it idempotent.
    """
    if attempt_outcome is AttemptOutcome.NOT_RUN:
        return True
    if attempt_outcome is AttemptOutcome.INTERRUPTED:
        return is_read_only or is_idempotent
    return False
