"""Settings of the platform stand-in."""

from datetime import timedelta

import msgspec

from ..store.instance_entry import InstanceEntry


class PlatformStandinSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one platform stand-in.

    Attributes
    ----------
    address : str
        ``IP:PORT`` to listen on; port 0 lets the operating system choose.
    instances : list of InstanceEntry
        The instance list at start.
    instances_lag_ms : int
        Time after which a change of the instance list becomes visible.
    """

    address: str = "127.0.0.1:0"
    instances: list[InstanceEntry] = []
    instances_lag_ms: int = 0

    @property
    def instances_lag(self) -> timedelta:
        """Time after which a change of the instance list becomes visible."""
        return timedelta(milliseconds=self.instances_lag_ms)
