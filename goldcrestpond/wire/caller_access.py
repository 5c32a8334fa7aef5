"""Credentials and TLS rules for callers."""

import secrets
import ssl
from dataclasses import dataclass, field

from .scram_verifier import ScramVerifier, make_verifier

_RANDOM_PASSWORD_BYTES = 32


@dataclass(frozen=True, slots=True)
class CallerAccess:
    """Rules by which callers are authenticated and their connections encrypted.

    Attributes
    ----------
    verifiers : dict of str to ScramVerifier
        Password verifiers by user name; if empty, callers are not authenticated.
    tls : ssl.SSLContext or None
        Server context for TLS; None refuses requests for encryption.
    requires_tls : bool
        Whether unencrypted callers are refused.
    unknown_user_verifier : ScramVerifier
        Verifier of a random password, used for unknown users, so that the login
        does not reveal which users exist.
    """

    verifiers: dict[str, ScramVerifier]
    tls: ssl.SSLContext | None = None
    requires_tls: bool = False
    unknown_user_verifier: ScramVerifier = field(
        default_factory=lambda: make_verifier(secrets.token_hex(_RANDOM_PASSWORD_BYTES))
    )

    def find_verifier(self, user: str) -> ScramVerifier | None:
        """Return the verifier for a user's password; None if none is required."""
        if not self.verifiers:
            return None
        return self.verifiers.get(user, self.unknown_user_verifier)
