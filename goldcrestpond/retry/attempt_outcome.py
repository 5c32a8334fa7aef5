"""Outcome of a failed attempt at a request."""

from enum import Enum, auto


class AttemptOutcome(Enum):
    """What is known of how far a failed attempt came before it failed.

    ``NOT_RUN``: no byte was sent, or the endpoint refused the request before running
    it, or its transaction ended without a commit.
    ``INTERRUPTED``: the request was sent, but no complete answer arrived.
    ``ANSWERED``: the caller has already received a part of an answer.
    """

    NOT_RUN = auto()
    INTERRUPTED = auto()
    ANSWERED = auto()
