"""One condition of a resource's status."""

import msgspec


class StatusCondition(msgspec.Struct, frozen=True):
    """Something that is or is not the case for a resource.

    Attributes
    ----------
    type : str
        ``InForce``, ``StoreReachable`` or, for a drain order, ``Drained``.
    status : str
        ``True``, ``False`` or ``Unknown``.
    reason : str
        One short sentence.
    """

    type: str
    status: str
    reason: str
