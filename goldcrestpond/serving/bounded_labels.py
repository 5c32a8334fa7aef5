"""Limits how many values a label of a metric may have."""

OTHER_LABEL = "other"


class BoundedLabels:
    """Returns the first values unchanged, and one common label for all further ones.

    Parameters
    ----------
    limit_count : int
        Maximum number of values that have a label of their own.
    """

    __slots__ = ("_known", "_limit_count")

    def __init__(self, limit_count: int):
        self._limit_count = limit_count
        self._known: set[str] = set()

    def label(self, value: str) -> str:
        """Return the label for a value."""
        if value in self._known:
            return value
        if len(self._known) >= self._limit_count:
            return OTHER_LABEL
        self._known.add(value)
        return value
