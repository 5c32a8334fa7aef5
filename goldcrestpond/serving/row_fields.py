"""Types of the fields of rows that other writers can reach.

A value outside of them makes its row unreadable, so that no computation with a value of
another writer fails later.
"""

from typing import Annotated

import msgspec

# Integers up to this are exact in a double, as which some writers keep them.
_COUNT_LIMIT = 2**53
_BANDWIDTH_LIMIT_MBPS = 1e9
_SPAN_LIMIT_MS = 1e9  # a day is 8.6e7
_SLOT_LIMIT = 1_000_000  # far more statements than a database runs at once
_NAME_LIMIT_CHARACTERS = 200  # as for the keys of the store, in bytes

Count = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_LIMIT)]
# Milliseconds on a wall clock or on the store's clock.
TimeMs = Annotated[float, msgspec.Meta(ge=0, le=_COUNT_LIMIT)]
SpanMs = Annotated[float, msgspec.Meta(ge=-_SPAN_LIMIT_MS, le=_SPAN_LIMIT_MS)]
Bandwidth = Annotated[float, msgspec.Meta(ge=0, le=_BANDWIDTH_LIMIT_MBPS)]
Slots = Annotated[int, msgspec.Meta(ge=-_SLOT_LIMIT, le=_SLOT_LIMIT)]


def is_name(text: str) -> bool:
    """Return whether a text can be a name, which is one word on the wire."""
    is_word = text.isprintable() and not any(map(str.isspace, text))
    return is_word and 0 < len(text) <= _NAME_LIMIT_CHARACTERS
