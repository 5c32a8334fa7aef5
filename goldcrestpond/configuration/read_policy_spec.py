"""Greatest age of the data that reads may return."""

import msgspec

from .field_types import DurationMs


class ReadPolicySpec(msgspec.Struct, forbid_unknown_fields=True):
    """How old the data of a declared read may be.

    Attributes
    ----------
    max_age_ms : int
        Greatest age of the data; 0 asks for the present state.
    """

    max_age_ms: DurationMs
