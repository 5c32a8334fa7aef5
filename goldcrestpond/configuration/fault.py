"""One place where a request's body is invalid."""

import msgspec


class Fault(msgspec.Struct, frozen=True):
    """Where a body does not fit its schema, and why.

    Attributes
    ----------
    path : str
        Place in the body, for instance ``spec.databases[1].address``.
    reason : str
        What is wrong.
    """

    path: str
    reason: str
