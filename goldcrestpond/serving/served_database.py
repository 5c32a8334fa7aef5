"""A database with this process's connections to it and measurements of it."""

from ..relay.switched_pool import SwitchedPool
from .database import Database
from .endpoint_health import EndpointHealth
from .recent_latency import RecentLatency
from .replica_progress import ReplicaProgress


class ServedDatabase:
    """One database that this process may send statements to.

    Attributes
    ----------
    database : Database
        Its entry in the registry.
    pool : SwitchedPool
        Connections to it.
    health : EndpointHealth
        Consecutive failures of requests to it.
    progress : ReplicaProgress
        Log positions that its answers have shown.
    latency : RecentLatency
        How long recent reads on it have taken.
    """

    __slots__ = ("database", "health", "latency", "pool", "progress")

    def __init__(self, database: Database, pool: SwitchedPool):
        self.database = database
        self.pool = pool
        self.health = EndpointHealth()
        self.progress = ReplicaProgress()
        self.latency = RecentLatency()

    @property
    def database_id(self) -> str:
        """Id of the database."""
        return self.database.database_id
