"""Keys of the table under which instances report drains."""

DRAIN_PREFIX = "drain/"


def drain_progress_key(order: str, instance: str) -> str:
    """Return the key of one instance's progress with one order."""
    return f"{DRAIN_PREFIX}{order}/{instance}"


def parse_drain_progress_key(key: str) -> tuple[str, str]:
    """Return the order and the instance of a key."""
    order, _, instance = key.removeprefix(DRAIN_PREFIX).partition("/")
    return order, instance
