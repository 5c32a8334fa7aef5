"""Size of a majority."""


def majority_of(database_count: int) -> int:
    """Return how many of ``database_count`` databases make up a majority."""
    return database_count // 2 + 1
