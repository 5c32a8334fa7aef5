"""Status of a resource: how many instances have it in force."""

import msgspec

from .status_condition import StatusCondition


class ResourceStatus(
    msgspec.Struct, frozen=True, rename={"observed_generation": "observedGeneration"}
):
    """Status of a resource.

    Attributes
    ----------
    observed_generation : int
        Newest generation known to be in force on every live instance; 0 if
        none is known.
    live_instances : int
        Instances that are live.
    in_force_instances : int
        Live instances that have this version or a later one in force.
    conditions : list of StatusCondition
        What is the case.
    """

    observed_generation: int
    live_instances: int
    in_force_instances: int
    conditions: list[StatusCondition]
