"""Settings of the program on the users' platform.

The platform fills in `deploy/settings.json`, so that the file has the product's
own names.
"""

from pathlib import Path

import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import parse_address

PATH_VARIABLE = "GOLDCRESTPOND_SETTINGS"


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    availability_zone : str
        Its availability zone.
    listen : str
        ``IP:PORT`` for callers.
    ready_listen : str
        ``IP:PORT`` for the ready probe.
    peer_listen : str
        ``IP:PORT`` for other instances.
    metrics_listen : str
        ``IP:PORT`` for the metrics.
    store : str
        ``IP:PORT`` of the platform's store.
    duties : str
        ``IP:PORT`` that takes orders of promotions; empty if there is none.
    drain_limit_ms : int
        Time after which a leaving database must get no new work.
    grace_s : float
        Time from the request to stop to the kill.
    link_mbps : float
        Width of the machine's link in megabits per second; 0 if unknown.
    descriptor_limit : int
        Descriptors that the process may have open; 0 if unknown, callers are not
        limited then.
    """

    instance: str
    availability_zone: str
    listen: str
    ready_listen: str
    peer_listen: str
    metrics_listen: str
    store: str
    duties: str = ""
    drain_limit_ms: int = 7000
    grace_s: float = 6
    link_mbps: float = 0
    descriptor_limit: int = 0


def load_instance_settings(path: str) -> InstanceSettings:
    """Read and check a settings file.

    Raises
    ------
    CodedError
        SETTINGS_UNREADABLE or SETTINGS_INVALID, naming file and key.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise CodedError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        settings = msgspec.json.decode(data, type=InstanceSettings)
        for key in ("listen", "ready_listen", "peer_listen", "metrics_listen", "store"):
            parse_address(getattr(settings, key))
        if settings.duties:
            parse_address(settings.duties)
    except msgspec.DecodeError as error:
        raise CodedError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
    return settings
