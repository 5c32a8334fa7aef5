"""Log of decisions about requests and about the state of databases and peers."""

from typing import Protocol


class DecisionLog(Protocol):
    """Writes structured log lines; bounded, and never blocks."""

    def decision(self, event: str, **fields: object) -> None:
        """Log a decision with the inputs on which it was based."""
