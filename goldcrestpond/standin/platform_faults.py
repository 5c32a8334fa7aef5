"""Faults of the platform stand-in."""

import msgspec


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong with requests that arrive from now on.

    Attributes
    ----------
    down : bool
        Requests are answered 503 and have no effect.
    silent : bool
        Requests are never answered and have no effect.
    delay_ms : int
        Requests wait this long before they take effect, also when the client
        has given up meanwhile.
    lose_next_answers : int
        So many writes take effect and are never answered.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_next_answers: int = 0
