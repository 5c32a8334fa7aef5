"""Table keys of resources and of guards."""

from .kind import Kind

RESOURCE_PREFIX = "configuration/resource/"
GUARD_PREFIX = "configuration/guard/"
# Covers resources and guards, so that one read returns both as of one revision.
CONFIGURATION_PREFIX = "configuration/"


def resource_key(kind: Kind, name: str) -> str:
    """Return the key of a resource's row."""
    return f"{RESOURCE_PREFIX}{kind}/{name}"


def parse_resource_key(key: str) -> tuple[Kind, str]:
    """Return the kind and name that the key of a resource's row contains.

    Raises
    ------
    ValueError
        If it is not the key of a resource.
    """
    if not key.startswith(RESOURCE_PREFIX):
        raise ValueError(f"not the key of a resource: {key!r}")
    kind, _, name = key[len(RESOURCE_PREFIX) :].partition("/")
    return Kind(kind), name
