"""Table keys of resources and of the guards that protect references."""

from .kind import Kind

RESOURCE_PREFIX = "configuration/resource/"
GUARD_PREFIX = "configuration/guard/"
# Covers resources and guards, so that one read sees both at one revision.
CONFIGURATION_PREFIX = "configuration/"


def resource_key(kind: Kind, name: str) -> str:
    """Return the key of a resource's row."""
    return f"{RESOURCE_PREFIX}{kind}/{name}"


def parse_resource_key(key: str) -> tuple[Kind, str]:
    """Return kind and name of a resource's row.

    Raises
    ------
    ValueError
        If the key belongs to no resource.
    """
    if not key.startswith(RESOURCE_PREFIX):
        raise ValueError(f"no key of a resource: {key!r}")
    kind, _, name = key[len(RESOURCE_PREFIX) :].partition("/")
    return Kind(kind), name
