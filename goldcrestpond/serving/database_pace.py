"""Pace of the operations of this instance at one database of a service."""

from collections.abc import Callable
from functools import partial

from ..pool.pace import Pace
from .service import Service


def make_database_pace(
    service: Service, database_id: str, applies: Callable[[], bool]
) -> Pace:
    """Return a pace that knows the other databases of the service, and logs.

    Parameters
    ----------
    service : Service
        The service.
    database_id : str
        Id of the database.
    applies : callable
        Returns whether this instance holds connections to the service.
    """
    return Pace(
        applies=applies,
        can_spare=lambda: service.can_spare(database_id),
        peers=lambda: [
            served.pace
            for served in service.databases.values()
            if served.database_id != database_id
        ],
        report=partial(
            service.log.decision, service=service.name, database=database_id
        ),
    )
