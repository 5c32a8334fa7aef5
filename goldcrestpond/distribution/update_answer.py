"""Message: the answer to an update request."""

import msgspec

from ..configuration.configuration_delta import ConfigurationDelta
from ..configuration.configuration_snapshot import ConfigurationSnapshot


class UpdateAnswer(msgspec.Struct, frozen=True):
    """Brings the receiver's configuration to the sender's revision.

    Sent only by members whose own configuration is confirmed: since their start
    and their last pause, the table or a confirmed member has answered them.

    Attributes
    ----------
    sender_id : int
        Process that answers.
    epoch : int
        Epoch copied from the request: the receiver is confirmed only if it has not
        started a new epoch since.
    revision : int
        Revision of the sender.
    update : ConfigurationDelta or ConfigurationSnapshot or None
        Update to that revision; None if the receiver is up to date, or if the
        update is too large for a datagram and must be fetched over a stream.
    """

    sender_id: int
    epoch: int
    revision: int
    update: ConfigurationDelta | ConfigurationSnapshot | None
