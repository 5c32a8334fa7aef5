"""The configuration of this process as its spread needs it."""

from typing import Protocol

from ..configuration.configuration_state import ConfigurationState, ConfigurationUpdate


class LocalConfiguration(Protocol):
    """Holds the state and tells the process when it moved."""

    @property
    def state(self) -> ConfigurationState:
        """The state, with the present time noted in it."""

    def handle_answer(
        self,
        epoch: int,
        revision: int,
        update: ConfigurationUpdate | None,
        is_confirmed: bool,
    ) -> object:
        """Take a peer's answer in, as `ConfigurationState.handle_answer` does."""
