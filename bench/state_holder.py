"""Configuration state of a simulated member, without any I/O."""

import random
from datetime import timedelta

from goldcrestpond.configuration.configuration_state import (
    ConfigurationState,
    ConfigurationUpdate,
)


class StateHolder:
    """Configuration state of one simulated member.

    Parameters
    ----------
    now : timedelta
        Present time on a monotonic clock.
    rng : random.Random
        Random numbers, from which the first epoch is drawn.

    Attributes
    ----------
    now : timedelta
        Time to which ``state`` is updated at its next use; set by the caller.
    reverts : int
        How often an answer lowered the revision.
    """

    __slots__ = ("_state", "now", "reverts")

    def __init__(self, now: timedelta, rng: random.Random):
        self._state = ConfigurationState(now, rng)
        self.now = now
        self.reverts = 0

    @property
    def state(self) -> ConfigurationState:
        """The state, updated to the time in ``now``."""
        self._state.observe_time(self.now)
        return self._state

    def apply_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> None:
        """Apply an answer of the table or of a peer."""
        previous_revision = self._state.revision
        self.state.apply_answer(epoch, revision, update, is_confirmed)
        self.reverts += self._state.revision < previous_revision
