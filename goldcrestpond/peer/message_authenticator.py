"""Authenticates messages between instances with the fleet's shared key."""

import hmac
from hashlib import blake2b

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_TAG_BYTES = 16


class MessageAuthenticator:
    """Puts an authentication tag before each message and verifies it.

    Parameters
    ----------
    key : bytes
        Key of the fleet, at most 64 bytes. With an empty key the tag is a plain
        checksum; use it only on networks that only instances can reach.
    """

    __slots__ = ("_key",)

    def __init__(self, key: bytes):
        self._key = key

    def sign(self, data: bytes) -> bytes:
        """Return the data, preceded by its tag."""
        return self._tag(data) + data

    def verify(self, signed: bytes) -> bytes:
        """Return the data without its tag.

        Raises
        ------
        CodedError
            PEER_MALFORMED if the tag does not match the data.
        """
        data = signed[_TAG_BYTES:]
        if not hmac.compare_digest(signed[:_TAG_BYTES], self._tag(data)):
            raise CodedError(
                ResultCode.PEER_MALFORMED, "authentication tag does not match"
            )
        return data

    def _tag(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=_TAG_BYTES, key=self._key).digest()
