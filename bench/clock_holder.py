"""Configuration state whose time comes from a clock."""

import random

from goldcrestpond.clock.clock import Clock
from goldcrestpond.configuration.configuration_state import ConfigurationState

from .state_holder import StateHolder


class ClockHolder(StateHolder):
    """Configuration state of one node that runs in real time.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Random numbers, from which the first epoch is drawn.
    """

    __slots__ = ("_clock",)

    def __init__(self, clock: Clock, rng: random.Random):
        super().__init__(clock.now(), rng)
        self._clock = clock

    @property
    def state(self) -> ConfigurationState:
        """The state, updated to the clock's present time."""
        self.now = self._clock.now()
        return super().state
