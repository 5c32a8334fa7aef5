"""Asks an endpoint whether another connection's statement still runs."""

from .endpoint_connection import EndpointConnection
from .endpoint_refusal import EndpointRefusal

_ACTIVE = "active"


async def is_statement_running(
    probe: EndpointConnection, process_id: int
) -> bool | None:
    """Look up the backend ``process_id`` in ``pg_stat_activity``.

    Parameters
    ----------
    probe : EndpointConnection
        Connection over which the endpoint is asked.
    process_id : int
        Process id of the other connection's backend.

    Returns
    -------
    bool or None
        Whether the backend exists and runs a statement; None if the endpoint
        refuses the query or hides the backend's state.

    Raises
    ------
    CodedError
        ANSWER_INTERRUPTED if the connection is lost before the answer ends.
    """
    sql = f"SELECT state FROM pg_stat_activity WHERE pid = {process_id}"
    try:
        result = await probe.query(sql)
    except EndpointRefusal:
        return None
    if not result.rows:
        return False
    state = result.rows[0][0]
    return None if state is None else state == _ACTIVE
