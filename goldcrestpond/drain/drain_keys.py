"""Keys under which instances report the progress of drains in the platform's table."""

DRAIN_PREFIX = "drain/"


def drain_progress_key(order: str, instance: str) -> str:
    """Return the key of an instance's progress with a drain order."""
    return f"{DRAIN_PREFIX}{order}/{instance}"


def parse_drain_progress_key(key: str) -> tuple[str, str]:
    """Return the names of the drain order and of the instance in a key."""
    order, _, instance = key.removeprefix(DRAIN_PREFIX).partition("/")
    return order, instance
