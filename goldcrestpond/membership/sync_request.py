"""Asks for what differs between two members' tables."""

import msgspec


class SyncRequest(msgspec.Struct, frozen=True):
    """Asks for the members of each bucket whose digest differs.

    Attributes
    ----------
    sender_id : int
        Process that asks.
    bucket_digests : list of int
        Digest of each bucket of the sender's live members.
    """

    sender_id: int
    bucket_digests: list[int]
