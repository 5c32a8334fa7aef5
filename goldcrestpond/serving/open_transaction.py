"""State of a caller's open transaction."""

from dataclasses import dataclass
from datetime import timedelta

from .link import Link
from .route import Route
from .served_database import ServedDatabase
from .service import Service


@dataclass(slots=True)
class OpenTransaction:
    """A transaction between its ``BEGIN`` and its end.

    The ``BEGIN`` is answered at once; a database is chosen when the first statement
    needs one.

    Attributes
    ----------
    route : Route
        Route in force when the transaction began.
    service : Service
        Service of the route.
    is_read_only : bool
        Whether the caller declared the transaction as read-only.
    began_at : timedelta
        Time at which the transaction began.
    has_failed : bool
        Whether the transaction failed and can only be ended.
    abort_reason : str
        Why this process has rolled it back between two statements; empty once the
        caller was told.
    has_written : bool
        Whether a write was sent in the transaction.
    link : Link or None
        Connection that the transaction uses; None until a statement needs one.
    served : ServedDatabase or None
        Database to which the link is connected.
    """

    route: Route
    service: Service
    is_read_only: bool
    began_at: timedelta
    has_failed: bool = False
    abort_reason: str = ""
    has_written: bool = False
    link: Link | None = None
    served: ServedDatabase | None = None
