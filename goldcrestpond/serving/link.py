"""The endpoint side's port: one connection to a database."""

from typing import Protocol

from ..endpoint.pooled_link import PooledLink
from ..group.log_position import LogPosition
from .database_report import DatabaseReport
from .reply import Reply
from .shape import Shape
from .statement import Statement
from .transaction_state import TransactionState


class Link(PooledLink, Protocol):
    """A connection whose session is this process's to arrange.

    Every method raises ``CodedError`` with ANSWER_INTERRUPTED if the answer
    does not end. One that is cancelled leaves the link broken.

    Attributes
    ----------
    values : dict of str to str
        Session values in force on it.
    prepared : dict of Shape to str
        Names of the statements prepared on it.
    state : TransactionState
        State by the last answer.
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
        """Run a caller's statement under its own id.

        Parameters
        ----------
        statement : Statement
            A read, a write, the execution of a prepared one, or a commit.
        shape : Shape or None
            What a prepared statement runs; it is prepared on the link.
        min_position : LogPosition or None
            Position that the database must have; refused without it.
        """

    async def begin(
        self, is_read_only: bool, min_position: LogPosition | None
    ) -> Reply:
        """Begin a transaction."""

    async def rollback(self) -> Reply:
        """End a transaction without a commit."""

    async def verify_leader(self) -> Reply:
        """Begin a writing transaction and end it; the reply is the beginning's."""

    async def reset(self) -> None:
        """Clear values and prepared statements."""

    async def set_value(self, name: str, value: str) -> None:
        """Set a session value."""

    async def prepare(self, shape: Shape) -> None:
        """Prepare a statement under a name of the link's choice."""

    async def report(self) -> DatabaseReport:
        """Ask what the database says of itself."""

    async def pause_replication(self, term: int) -> DatabaseReport:
        """Stop a replica from receiving until a term begins or it is resumed."""

    async def resume_replication(self) -> DatabaseReport:
        """Let a paused replica receive again."""
