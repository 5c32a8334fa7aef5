"""Settings of a site that runs in one process."""

from dataclasses import dataclass, field

from ..configuration.read_policy_spec import ReadPolicySpec
from ..configuration.route_spec import RouteSpec


@dataclass(frozen=True, slots=True)
class LocalSiteSettings:
    """Settings of a platform, one database group and proxies, all on loopback.

    Attributes
    ----------
    group : str
        Name of the database group.
    schema : list of str
        Statements that each database runs at its start.
    proxy_count : int
        Number of proxies.
    routes : dict of str to RouteSpec
        Routes by name.
    read_policies : dict of str to ReadPolicySpec
        Read policies by name.
    database_count : int
        Number of databases in the group.
    slot_limit : int
        Statements that one database runs concurrently.
    connection_limit : int
        Connections that one database accepts.
    connection_delay_ms : float
        Time to open a connection.
    statement_delay_ms : float
        Service time of a statement.
    receive_delay_ms : float
        Time until a replica has received a commit.
    replay_lag_ms : float
        Further time until reads on that replica show the commit.
    caller_port : int
        Port of the first proxy, the next ones follow; 0 lets the operating system
        choose all.
    api_port : int or None
        Port of the resource API; 0 lets the operating system choose, None starts
        no API.
    users : dict of str to str
        SCRAM verifiers by user; if empty, callers are not authenticated.
    tls_certificate_file : str
        File with the proxies' certificate and key; empty for no encryption.
    endpoint_password : str
        Password that the proxies use at the databases; empty for none.
    idle_transaction_timeout_ms : int
        Longest time that an open transaction waits for its caller's next request.
    event_folder : str
        Folder for the event files of the proxies; empty for none.
    shutdown_timeout_ms : int
        Longest time that a proxy's shutdown waits for work in flight.
    seed : int
        Seed of the first proxy's random generator; each further one adds 1.
    """

    group: str = "fuel"
    schema: list[str] = field(default_factory=list)
    proxy_count: int = 2
    routes: dict[str, RouteSpec] = field(default_factory=dict)
    read_policies: dict[str, ReadPolicySpec] = field(default_factory=dict)
    database_count: int = 3
    slot_limit: int = 5
    connection_limit: int = 35
    connection_delay_ms: float = 10.0
    statement_delay_ms: float = 0.0
    receive_delay_ms: float = 1.0
    replay_lag_ms: float = 20.0
    caller_port: int = 0
    api_port: int | None = None
    users: dict[str, str] = field(default_factory=dict)
    tls_certificate_file: str = ""
    endpoint_password: str = ""
    idle_transaction_timeout_ms: int = 60_000
    event_folder: str = ""
    shutdown_timeout_ms: int = 30_000
    seed: int = 1
