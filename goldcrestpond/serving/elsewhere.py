"""Port to the instances that run statements in the place of this one."""

from datetime import timedelta
from typing import Protocol

from ..group.log_position import LogPosition
from ..pool.requester import Requester
from .open_transaction import OpenTransaction
from .reply import Reply
from .route import Route
from .session_state import SessionState
from .statement import Statement


class Elsewhere(Protocol):
    """Runs statements at an instance that holds connections to their service.

    Implemented by ``StatementRelay``. Both methods return None if this instance is to
    run the statement: it holds the service itself, or no other one that does answers.
    """

    async def run_read(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        route: Route,
        arrived_at: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply | None:
        """Run a read outside a transaction.

        Parameters
        ----------
        requester : Requester
            For whom it runs.
        statement : Statement
            The read.
        session : SessionState
            Session values and prepared statements of the caller.
        route : Route
            Route of the caller's database.
        arrived_at : timedelta
            When it arrived.
        last_commit : LogPosition or None
            Position after the last commit of the session on the service.

        Raises
        ------
        CodedError
            The error with which it was refused or failed.
        """

    async def open_transaction(
        self,
        requester: Requester,
        statement: Statement,
        session: SessionState,
        transaction: OpenTransaction,
        arrived_at: timedelta,
        last_commit: LogPosition | None,
    ) -> Reply | None:
        """Open a transaction and run its first statement; set its link and database.

        Parameters are as for `run_read`; ``transaction`` is the transaction.

        Raises
        ------
        CodedError
            The error with which it was refused or failed; nothing of it is kept.
        """
