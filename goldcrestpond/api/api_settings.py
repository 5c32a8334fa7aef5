"""Settings of the resource API."""

import msgspec


class ApiSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of ``goldcrestpond-api``.

    Attributes
    ----------
    instance : str
        Name of this instance.
    address : str
        ``IP:PORT`` to listen on; port 0 lets the operating system choose.
    platform : str
        ``IP:PORT`` of the platform's service.
    tokens : list of str
        Bearer tokens of operators; if empty, only loopback clients are admitted.
    peer_key : str
        Key of the fleet, the same as in the proxies' settings.
    platform_timeout_ms : int
        Longest time for one request to the platform.
    """

    instance: str
    address: str
    platform: str
    tokens: list[str] = []
    peer_key: str = ""
    platform_timeout_ms: int = 10_000
