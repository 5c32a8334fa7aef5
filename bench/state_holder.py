"""Holds a configuration state without the shell around it."""

import random
from datetime import timedelta

from goldcrestpond.configuration.configuration_state import (
    ConfigurationState,
    ConfigurationUpdate,
)


class StateHolder:
    """Configuration of one member of a loop.

    Parameters
    ----------
    now : timedelta
        Monotonic reading.
    rng : random.Random
        Source of the first epoch.

    Attributes
    ----------
    now : timedelta
        Reading at which the state is used next.
    reverts : int
        Count of moves to a lower revision.
    """

    __slots__ = ("_state", "now", "reverts")

    def __init__(self, now: timedelta, rng: random.Random):
        self._state = ConfigurationState(now, rng)
        self.now = now
        self.reverts = 0

    @property
    def state(self) -> ConfigurationState:
        """The state, with the present time noted in it."""
        self._state.observe_time(self.now)
        return self._state

    def apply_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> None:
        """Take an answer in."""
        before = self._state.revision
        self.state.apply_answer(epoch, revision, update, is_confirmed)
        self.reverts += self._state.revision < before
