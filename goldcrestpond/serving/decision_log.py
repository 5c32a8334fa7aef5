"""One line for each decision that touches a request or a belief."""

from typing import Protocol


class DecisionLog(Protocol):
    """Sink of structured lines; bounded and never blocking."""

    def decision(self, event: str, **fields: object) -> None:
        """Write what was decided, with the inputs that decided it."""
