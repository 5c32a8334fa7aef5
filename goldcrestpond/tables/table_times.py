"""Time limits of the path from the store's tables to an instance."""

from dataclasses import dataclass
from datetime import timedelta

# Fractions of the time within which a change of the configuration must be in force.
# A reader confirms its tables once in the first, each further instance in the second;
# both, and one zone relay between them, stay below the third. What remains after it is
# for trying another source, and then the store.
STORE_WAIT_FRACTION = 1 / 4
FOLLOW_WAIT_FRACTION = 1 / 8
MAX_AGE_FRACTION = 3 / 4
# A lost answer of the store is detected after this time plus the store client's slack.
# The sum is below 4 s, because changes must be in force in time again from 4 s after a
# disturbance.
FEED_WAIT_MAX = timedelta(milliseconds=2500)
LATE_ANSWER = timedelta(milliseconds=400)  # a slow store needs about 0.25 s


@dataclass(frozen=True, slots=True)
class TableTimes:
    """How long an instance waits for changes, and how old its tables may be.

    Attributes
    ----------
    store_wait : timedelta
        How long the store waits for a change before it answers a reader.
    follow_wait : timedelta
        How long an instance waits for a change before it answers a follower.
    late_age : timedelta
        Age of the configuration at which a reader counts as out of touch with the
        store, well before its call fails.
    max_age : timedelta
        Age of the configuration at which an instance reads the store itself.
    is_proof_limited : bool
        Whether the tables prove nothing beyond an age. An instance then reads the store
        at `max_age` without trying its remaining sources, which may all be silent.
    """

    store_wait: timedelta
    follow_wait: timedelta
    late_age: timedelta
    max_age: timedelta
    is_proof_limited: bool = False


def make_table_times(
    apply_limit: timedelta, proof_limit: timedelta | None = None
) -> TableTimes:
    """Return the times for a configuration that must be in force within a limit.

    Parameters
    ----------
    apply_limit : timedelta
        Time within which a change of the configuration must be in force.
    proof_limit : timedelta or None
        Age at which the tables prove nothing any more; an instance in touch must never
        reach it. None if the age is not limited.
    """
    if proof_limit is not None:
        apply_limit = min(apply_limit, proof_limit)
    store_wait = min(FEED_WAIT_MAX, apply_limit * STORE_WAIT_FRACTION)
    return TableTimes(
        store_wait,
        apply_limit * FOLLOW_WAIT_FRACTION,
        store_wait + LATE_ANSWER,
        apply_limit * MAX_AGE_FRACTION,
        proof_limit is not None,
    )
