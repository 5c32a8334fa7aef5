"""Injected faults of the platform stand-in."""

import msgspec


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that apply to requests which arrive from now on.

    Attributes
    ----------
    down : bool
        Requests are answered with status 503 and have no effect.
    silent : bool
        Requests are never answered and have no effect.
    delay_ms : int
        Delay before a request takes effect; it does so even if the client has
        disconnected meanwhile.
    lose_next_answers : int
        Number of following writes that take effect but are never answered.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_next_answers: int = 0
