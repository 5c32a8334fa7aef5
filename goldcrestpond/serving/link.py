"""Interface of one connection to a database, as the serving core uses it."""

from typing import Protocol

from ..endpoint.pooled_link import PooledLink
from ..group.log_position import LogPosition
from .database_report import DatabaseReport
from .reply import Reply
from .shape import Shape
from .statement import Statement
from .transaction_state import TransactionState


class Link(PooledLink, Protocol):
    """A connection whose session state this process sets.

    Every method raises ``CodedError`` with ANSWER_INTERRUPTED if it does not receive a
    complete answer. A cancelled call leaves the link broken.

    Attributes
    ----------
    values : dict of str to str
        Session values that are set on the connection.
    prepared : dict of Shape to str
        Names of the statements that are prepared on the connection.
    state : TransactionState
        Transaction state as of the last answer.
    """

    values: dict[str, str]
    prepared: dict[Shape, str]
    state: TransactionState

    async def execute(
        self,
        statement: Statement,
        shape: Shape | None,
        min_position: LogPosition | None,
    ) -> Reply:
        """Run a caller's statement under the caller's request id.

        Parameters
        ----------
        statement : Statement
            A read, a write, the execution of a prepared statement, or a commit.
        shape : Shape or None
            Shape of the prepared statement to execute, which must be prepared on
            the link; None for other statements.
        min_position : LogPosition or None
            Log position that the database must have reached; it refuses the
            statement otherwise. None for no such condition.
        """

    async def begin(
        self, is_read_only: bool, min_position: LogPosition | None
    ) -> Reply:
        """Begin a transaction; ``min_position`` is as for ``execute``."""

    async def rollback(self) -> Reply:
        """Roll back the open transaction."""

    async def verify_leader(self) -> Reply:
        """Begin and end a read-write transaction, which only a leader accepts.

        The reply is that of the ``BEGIN``.
        """

    async def reset(self) -> None:
        """Clear session values and prepared statements."""

    async def set_value(self, name: str, value: str) -> None:
        """Set a session value."""

    async def prepare(self, shape: Shape) -> None:
        """Prepare a statement under a name that the link chooses."""

    async def report(self) -> DatabaseReport:
        """Ask the database for its role, term and log position."""

    async def pause_replication(self, term: int) -> DatabaseReport:
        """Stop a replica from receiving the log, until ``term`` or until resumed."""

    async def resume_replication(self) -> DatabaseReport:
        """Let a paused replica receive the log again."""
