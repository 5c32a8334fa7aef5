"""JSON body of an error response."""

import msgspec

from ..configuration.fault import Fault
from .resource_body import ResourceBody


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """What went wrong with a request.

    Attributes
    ----------
    number : int
        Number of the result code.
    code : str
        Name of the result code.
    detail : str
        What happened, in one short sentence.
    faults : list of Fault
        Every fault of the body.
    current : ResourceBody or None
        The present resource, if the request met a newer version.
    """

    number: int
    code: str
    detail: str
    faults: list[Fault] = []
    current: ResourceBody | None = None
