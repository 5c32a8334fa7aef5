"""Settings of a proxy process."""

import msgspec

MEBIBYTE = 1 << 20


class ProxySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings that a proxy reads at start; other configuration is in resources.

    Attributes
    ----------
    instance : str
        Name of the instance, unique among the running ones.
    availability_zone : str
        Availability zone of the instance.
    listen : str
        ``IP:PORT`` for callers.
    platform : str
        ``IP:PORT`` of the platform's HTTP service.
    peer_listen : str
        ``IP:PORT`` for other instances over UDP and TCP, as the platform's
        list of instances gives it; empty for an instance without peers.
    peer_seeds : list of str
        ``IP:PORT`` of a few other instances, to join them if the platform's list
        cannot be read at the start.
    peer_key : str
        Shared key that authenticates instances to each other, at most 64 bytes;
        empty on networks that only instances can reach.
    api_listen : str
        ``IP:PORT`` of the resource API in this process; empty for none.
    api_tokens : list of str
        Bearer tokens of operators; if empty, only loopback may use the API.
    statsd : str
        ``IP:PORT`` of the statsd server; empty for no metrics.
    metrics_sample_rate : float
        Fraction of requests that are reported to statsd.
    events_file : str
        File to which the timeline of events is written; empty for none.
    log_level : str
        Log level.
    users : dict of str to str
        Users that may connect, with their SCRAM-SHA-256 verifiers in PostgreSQL's
        format; if empty, callers are not authenticated.
    trust_callers : bool
        Whether callers on other machines may connect without authentication.
    tls_certificate_file : str
        Certificate chain in PEM; empty to disable TLS.
    tls_key_file : str
        Private key in PEM; empty if the certificate file contains it.
    requires_tls : bool
        Whether unencrypted callers are refused.
    caller_limit : int
        Maximum number of connected callers.
    frame_limit_bytes : int
        Largest frame that a caller may send.
    batch_limit_bytes : int
        Largest total size of frames that a caller may send before a Sync.
    startup_timeout_ms : int
        Maximum time to read the startup packet, and again to authenticate.
    acknowledge_timeout_ms : int
        Maximum time to wait for the confirmation of a commit.
    idle_transaction_timeout_ms : int
        Time after which an open transaction without a statement is rolled back.
    connect_timeout_ms : int
        Maximum time to open a connection to an endpoint.
    shutdown_timeout_ms : int
        Maximum time that a graceful shutdown waits for work in flight.
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
