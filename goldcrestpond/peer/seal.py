"""Keeps out messages of those who do not know the fleet's key."""

import hmac
from hashlib import blake2b

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_TAG_BYTES = 16


class Seal:
    """Puts a keyed tag before each message and checks it.

    Parameters
    ----------
    key : bytes
        Key of the fleet, at most 64 bytes; empty for no check, on networks
        that only instances reach.
    """

    __slots__ = ("_key",)

    def __init__(self, key: bytes):
        self._key = key

    def close(self, data: bytes) -> bytes:
        """Return the data with its tag."""
        return self._tag(data) + data

    def open(self, sealed: bytes) -> bytes:
        """Return the data without its tag.

        Raises
        ------
        CodedError
            PEER_MALFORMED if the tag is not that of the data.
        """
        data = sealed[_TAG_BYTES:]
        if not hmac.compare_digest(sealed[:_TAG_BYTES], self._tag(data)):
            raise CodedError(ResultCode.PEER_MALFORMED, "a tag that does not fit")
        return data

    def _tag(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=_TAG_BYTES, key=self._key).digest()
