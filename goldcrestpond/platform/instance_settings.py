"""Settings of an instance on the users' platform.

The platform fills in the template `deploy/settings.json`, which chooses the names of
the settings.
"""

from pathlib import Path

import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import parse_address

PATH_VARIABLE = "GOLDCRESTPOND_SETTINGS"


_NOT_NEGATIVE = ("revoke_limit_ms", "rate_window_s", "rate_overage", "rate_slack")


class InstanceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    availability_zone : str
        Availability zone of the instance.
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
        ``IP:PORT`` of the platform's failover call; empty if there is none.
    drain_limit_ms : int
        Time after which a draining database must get no new work.
    apply_limit_ms : int
        Time within which a change of the configuration must be in force.
    grace_s : float
        Time in seconds from SIGTERM until the platform kills the process.
    link_mbps : float
        Bandwidth of the machine's network link in Mbit/s; 0 if unknown.
    descriptor_limit : int
        Maximum number of open file descriptors of the process; 0 if unknown, in
        which case the number of callers is not limited.
    revoke_limit_ms : int
        Time after which a withdrawn key of an organisation must be out of use, also
        on an instance that is out of touch; 0 if such an instance may go on.
    rate_window_s : float
        Length of the windows in which the rates of organisations are judged; 0 if
        rates are not limited.
    rate_overage : float
        Part of a rate by which it may be exceeded in a window.
    rate_slack : float
        Operations by which a rate may be exceeded in a window besides.
    paced : bool
        Whether the operations in flight at a database that has just started or
        recovered are paced.
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
    apply_limit_ms: int = 3000
    grace_s: float = 6
    link_mbps: float = 0
    descriptor_limit: int = 0
    revoke_limit_ms: int = 0
    rate_window_s: float = 0
    rate_overage: float = 0
    rate_slack: float = 0
    paced: bool = True


def load_instance_settings(path: str) -> InstanceSettings:
    """Read and check a settings file.

    Raises
    ------
    CodedError
        SETTINGS_UNREADABLE or SETTINGS_INVALID; the detail names file and key.
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
        for key in _NOT_NEGATIVE:
            if getattr(settings, key) < 0:
                raise msgspec.ValidationError(f"{key} is negative")
    except msgspec.DecodeError as error:
        raise CodedError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
    return settings
