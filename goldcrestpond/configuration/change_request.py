"""A change that an operator requests."""

from typing import Any

import msgspec

from .change_action import ChangeAction
from .kind import Kind


class ChangeRequest(msgspec.Struct, frozen=True):
    """A change of one resource.

    Attributes
    ----------
    action : ChangeAction
        What to do with the resource.
    kind : Kind
        Kind of the resource.
    name : str
        Name of the resource.
    spec : object
        Decoded JSON: the whole spec, or for a patch the fields to merge; None
        for a deletion.
    expected_version : int or None
        Version that the resource must have, 0 if it must not exist; None for any.
    """

    action: ChangeAction
    kind: Kind
    name: str
    spec: Any = None
    expected_version: int | None = None
