"""Size of a majority."""


def majority_of(databases: int) -> int:
    """Return how many of ``databases`` make up a majority."""
    return databases // 2 + 1
