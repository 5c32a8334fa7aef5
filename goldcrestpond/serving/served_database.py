"""A database with this process's connections to it and measurements of it."""

from datetime import timedelta

from ..errors.result_code import ResultCode
from ..pool.pace import Pace
from ..relay.switched_pool import SwitchedPool
from .database import Database
from .endpoint_health import MAX_AVOIDANCE, MAX_PACED_AVOIDANCE, EndpointHealth
from .link import Link
from .recent_latency import RecentLatency
from .replica_progress import ReplicaProgress
from .reply import Reply

# Replies that may show that the database does badly. One statement that fails by
# itself is among them; many of them in a row are rare.
_FAILED_BY_DATABASE = frozenset(
    {ResultCode.ENDPOINT_BUSY, ResultCode.ENDPOINT_REFUSED, ResultCode.ENDPOINT_TIMEOUT}
)


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
    pace : Pace
        Window of this instance's operations in flight there.
    """

    __slots__ = (
        "_max_avoidance",
        "database",
        "health",
        "latency",
        "pace",
        "pool",
        "progress",
    )

    def __init__(
        self, database: Database, pool: SwitchedPool, pace: Pace | None = None
    ):
        self.database = database
        self.pool = pool
        self.health = EndpointHealth()
        self.progress = ReplicaProgress()
        self.latency = RecentLatency()
        self.pace = Pace() if pace is None else pace
        self._max_avoidance = MAX_AVOIDANCE if pace is None else MAX_PACED_AVOIDANCE

    @property
    def database_id(self) -> str:
        """Id of the database."""
        return self.database.database_id

    def record_failed_statement(self, now: timedelta) -> None:
        """Record a statement without a complete answer."""
        self.health.record_failure(now, self._max_avoidance)

    def record_reply(self, link: Link, reply: Reply) -> None:
        """Record whether the database refused or failed a statement on a link."""
        if reply.error in _FAILED_BY_DATABASE:
            self.pool.record_refusal(link)
