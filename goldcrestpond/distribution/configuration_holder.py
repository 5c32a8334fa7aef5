"""The configuration of this process as its spread needs it."""

from typing import Protocol

from ..configuration.configuration_state import ConfigurationState, ConfigurationUpdate


class ConfigurationHolder(Protocol):
    """Holds the state and tells the process when it moved."""

    @property
    def state(self) -> ConfigurationState:
        """The state, with the present time noted in it."""

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Apply an update of a peer; return True if the revision moved."""

    def confirm(self, epoch: int) -> None:
        """Note that a question asked at ``epoch`` was answered as a whole."""
