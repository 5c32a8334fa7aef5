"""Holds a configuration state that reads a clock."""

import random

from goldcrestpond.clock.clock import Clock
from goldcrestpond.configuration.configuration_state import ConfigurationState

from .state_holder import StateHolder


class ClockHolder(StateHolder):
    """Configuration of one real node.

    Parameters
    ----------
    clock : Clock
        Source of monotonic readings.
    rng : random.Random
        Source of the first epoch.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: Clock, rng: random.Random):
        super().__init__(clock.now(), rng)
        self._clock = clock

    @property
    def state(self) -> ConfigurationState:
        """The state, with the present time noted in it."""
        self.now = self._clock.now()
        return super().state
