"""Settings of a proxy process."""

import msgspec

MEBIBYTE = 1 << 20


class ProxySettings(msgspec.Struct, forbid_unknown_fields=True):
    """What a proxy is told at its start; all else comes from resources.

    Attributes
    ----------
    instance : str
        Name of the instance, unique among the live ones.
    availability_zone : str
        Availability zone of the instance.
    listen : str
        ``IP:PORT`` for callers.
    platform : str
        ``IP:PORT`` of the platform's service.
    peer_listen : str
        ``IP:PORT`` for other instances over UDP and TCP, as the platform's
        list of instances gives it; empty for an instance without peers.
    peer_seeds : list of str
        ``IP:PORT`` of a few other instances, for a start while the platform's
        list cannot be read.
    peer_key : str
        Key of the fleet, at most 64 bytes; empty on networks that only
        instances reach.
    api_listen : str
        ``IP:PORT`` of the resource API in this process; empty for none.
    api_tokens : list of str
        Bearer tokens of operators; without any, only loopback is admitted.
    statsd : str
        ``IP:PORT`` of the statsd server; empty for no metrics.
    metrics_sample_rate : float
        Share of requests that are reported to statsd.
    events_file : str
        File that receives the time line; empty for none.
    log_level : str
        Level of the log.
    users : dict of str to str
        Users that may enter, with their SCRAM-SHA-256 verifiers as PostgreSQL
        writes them; without any, callers enter unasked.
    trust_callers : bool
        Allows callers from other instances to enter unasked.
    tls_certificate_file : str
        Certificate chain in PEM; empty offers no encryption.
    tls_key_file : str
        Private key in PEM; empty if the certificate file holds it.
    requires_tls : bool
        Whether unencrypted callers are refused.
    caller_limit : int
        Most callers at once.
    frame_limit_bytes : int
        Largest frame that a caller may send.
    batch_limit_bytes : int
        Largest sum of frames that a caller may send before a Sync.
    startup_timeout_ms : int
        Longest time for startup and authentication.
    acknowledge_timeout_ms : int
        Longest wait for the confirmation of a commit.
    idle_transaction_timeout_ms : int
        Longest time that an open transaction waits for its caller.
    connect_timeout_ms : int
        Longest time to open a connection to an endpoint.
    shutdown_timeout_ms : int
        Longest time that a graceful shutdown waits for work in flight.
    """

    instance: str
    listen: str
    platform: str
    availability_zone: str = ""
    peer_listen: str = ""
    peer_seeds: list[str] = []
    peer_key: str = ""
    api_listen: str = ""
    api_tokens: list[str] = []
    statsd: str = ""
    metrics_sample_rate: float = 0.1
    events_file: str = ""
    log_level: str = "INFO"
    users: dict[str, str] = {}
    trust_callers: bool = False
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    requires_tls: bool = False
    caller_limit: int = 12_000
    frame_limit_bytes: int = 16 * MEBIBYTE
    batch_limit_bytes: int = 32 * MEBIBYTE
    startup_timeout_ms: int = 10_000
    acknowledge_timeout_ms: int = 5_000
    idle_transaction_timeout_ms: int = 60_000
    connect_timeout_ms: int = 2_000
    shutdown_timeout_ms: int = 30_000
