"""A transaction of a caller."""

from dataclasses import dataclass
from datetime import timedelta

from .link import Link
from .route import Route
from .served_database import ServedDatabase
from .service import Service


@dataclass(slots=True)
class OpenTransaction:
    """A transaction between its beginning and its end.

    Its beginning is answered at once; a database is chosen when the first
    statement needs one.

    Attributes
    ----------
    route : Route
        Route when it began.
    service : Service
        Service of the route.
    is_read_only : bool
        Whether the caller declared that it only reads.
    began_at : timedelta
        Reading at its beginning.
    has_failed : bool
        Whether it can only be ended.
    has_written : bool
        Whether a write was sent in it.
    link : Link or None
        The connection that it holds.
    served : ServedDatabase or None
        Database of the link.
    """

    route: Route
    service: Service
    is_read_only: bool
    began_at: timedelta
    has_failed: bool = False
    has_written: bool = False
    link: Link | None = None
    served: ServedDatabase | None = None
