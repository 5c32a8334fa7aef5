"""The answer to a request for an update."""

import msgspec

from ..configuration.configuration_delta import ConfigurationDelta
from ..configuration.configuration_snapshot import ConfigurationSnapshot


class UpdateAnswer(msgspec.Struct, frozen=True):
    """Leads the receiver to the sender's revision.

    Only a member whose own state is confirmed answers.

    Attributes
    ----------
    sender_id : int
        Process that answers.
    epoch : int
        Epoch of the request.
    revision : int
        Revision of the sender.
    update : ConfigurationDelta or ConfigurationSnapshot or None
        What leads there; None if nothing is missing or if it is too large for
        a datagram and is to be fetched over a stream.
    """

    sender_id: int
    epoch: int
    revision: int
    update: ConfigurationDelta | ConfigurationSnapshot | None
