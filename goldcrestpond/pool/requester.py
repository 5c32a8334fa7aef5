"""For whom a connection is requested."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Requester:
    """Session that requests a connection, and the organisation that it acts for.

    Attributes
    ----------
    session : str
        Key of the session; the queues share connections fairly between sessions.
    organisation : str
        Name of the organisation; empty if the deployment or the route has none. A
        connection is opened for one organisation and serves only that one.
    weight : float
        Part of a database's room that the organisation may claim, relative to others
        that wait.
    is_repeatable : bool
        Whether what it runs may run twice. A connection that was idle for a while is
        used for it without a check: if it has been lost, another attempt follows.
    is_charged : bool
        Whether the operation was charged to the organisation's rate already, by an
        earlier attempt that did not run.
    """

    session: str
    organisation: str = ""
    weight: float = 1.0
    is_repeatable: bool = False
    is_charged: bool = False
