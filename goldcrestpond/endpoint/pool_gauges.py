"""Gauges of the connection pool of one database."""

from .connection_pool import ConnectionPool


def read_pool_gauges(
    pool: ConnectionPool, service: str, database_id: str
) -> dict[str, float]:
    """Return the connections by state, and the counts of what the pool has done.

    There is no label for the organisation, so their number does not depend on how many
    organisations there are.

    Parameters
    ----------
    pool : ConnectionPool
        The pool.
    service, database_id : str
        Labels: name of the service and id of the database.
    """
    labels = f'service="{service}",database="{database_id}"'
    counts = pool.counts
    values: dict[str, float] = {
        f'pool_connections{{{labels},state="{state.value}"}}': count
        for state, count in pool.count_by_state().items()
    }
    values[f"pool_hits{{{labels}}}"] = counts.hits
    values[f"pool_misses{{{labels}}}"] = counts.misses
    values[f"pool_closed_for_room{{{labels}}}"] = counts.closed_for_room
    return values
