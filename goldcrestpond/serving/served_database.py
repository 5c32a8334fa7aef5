"""A database with what this process holds for it."""

from ..relay.switched_pool import SwitchedPool
from .database import Database
from .endpoint_health import EndpointHealth
from .recent_latency import RecentLatency
from .replica_progress import ReplicaProgress


class ServedDatabase:
    """One database that may run work.

    Attributes
    ----------
    database : Database
        Its entry in the registry.
    pool : SwitchedPool
        Connections to it.
    health : EndpointHealth
        What requests have met there.
    progress : ReplicaProgress
        What answers have shown of its log.
    latency : RecentLatency
        How long reads there have taken.
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
