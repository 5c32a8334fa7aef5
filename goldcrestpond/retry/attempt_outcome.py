"""What is known of a request that failed."""

from enum import Enum, auto


class AttemptOutcome(Enum):
    """How far a request is known to have come.

    ``NOT_RUN``: no byte was sent, or the endpoint refused it before running,
    or its transaction ended without a commit.
    ``INTERRUPTED``: it was sent and the answer did not end.
    ``ANSWERED``: the caller has seen a part of an answer.
    """

    NOT_RUN = auto()
    INTERRUPTED = auto()
    ANSWERED = auto()
