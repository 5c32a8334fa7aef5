"""An organisation of a configuration that is not in force yet."""

from dataclasses import dataclass, field

from .organisation import Organisation


@dataclass(frozen=True, slots=True)
class OrganisationDraft:
    """An organisation with its keys, each known by its digest and its position.

    Attributes
    ----------
    organisation : Organisation
        Name and limits.
    key_digests : dict of str to bytes
        Digest of each key by its position, such as ``key 2``; not shown when printed.
    """

    organisation: Organisation
    key_digests: dict[str, bytes] = field(default_factory=dict, repr=False)
