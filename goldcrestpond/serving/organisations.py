"""The organisations of one version of the configuration, and whose key is whose."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from .organisation import Organisation

DIGEST_BYTES = 16  # two random keys share a digest with a probability of 2**-128
_DIGEST_PURPOSE = b"goldcrest key"  # digests made elsewhere for other uses differ


@dataclass(frozen=True, slots=True)
class Organisations:
    """Organisations by name, and by the digests of their keys.

    Attributes
    ----------
    by_name : mapping of str to Organisation
        Organisations by name.
    by_key_digest : mapping of bytes to Organisation
        Organisations by the digest of each of their keys; not shown when printed.
    """

    by_name: Mapping[str, Organisation] = field(default_factory=dict)
    by_key_digest: Mapping[bytes, Organisation] = field(
        default_factory=dict, repr=False
    )

    def find(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that has the key; None if no organisation has it."""
        return self.by_key_digest.get(key_digest)


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is known from then on.

    The digest has no secret, since all instances must agree on it and share no secret;
    it protects a key as far as the key can't be guessed.

    Parameters
    ----------
    key : str
        The key, with surrogates for bytes that are not UTF-8.

    Returns
    -------
    bytes
        `DIGEST_BYTES` bytes.
    """
    data = key.encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES, person=_DIGEST_PURPOSE)
    return digest.digest()
