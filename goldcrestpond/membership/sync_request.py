"""Message: asks for the differences between two members' tables."""

import msgspec


class SyncRequest(msgspec.Struct, frozen=True):
    """Asks for all updates in the buckets whose digests differ.

    Attributes
    ----------
    sender_id : int
        Process that asks.
    bucket_digests : list of int
        Digest of each bucket of the sender's live members.
    """

    sender_id: int
    bucket_digests: list[int]
