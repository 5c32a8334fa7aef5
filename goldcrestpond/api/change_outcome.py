"""Outcome of a change that took effect."""

import msgspec

from ..configuration.change_action import ChangeAction
from ..configuration.resource import Resource


class ChangeOutcome(msgspec.Struct, frozen=True):
    """A change that took effect, now or on an earlier attempt.

    Attributes
    ----------
    action : ChangeAction
        What was done with the resource.
    resource : Resource
        The resource after the change; after a deletion, the deleted one with
        the version of its deletion.
    """

    action: ChangeAction
    resource: Resource
