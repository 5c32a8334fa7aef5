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
        Bearer tokens of operators; without any, only loopback is admitted.
    peer_key : str
        Key of the fleet, as the proxies have it.
    platform_timeout_ms : int
        Time for one request to the platform.
    """

    instance: str
    address: str
    platform: str
    tokens: list[str] = []
    peer_key: str = ""
    platform_timeout_ms: int = 10_000
