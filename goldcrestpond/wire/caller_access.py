"""Who may enter, and how."""

import secrets
import ssl
from dataclasses import dataclass, field

from .scram_verifier import ScramVerifier, make_verifier

_NO_PASSWORD_BYTES = 32


@dataclass(frozen=True, slots=True)
class CallerAccess:
    """Credentials and encryption of callers.

    Attributes
    ----------
    verifiers : dict of str to ScramVerifier
        Known users; without any, every caller is let in unasked.
    tls : ssl.SSLContext or None
        Offers encryption; None refuses it.
    requires_tls : bool
        Whether unencrypted callers are refused.
    stranger : ScramVerifier
        Stands for unknown users, so that they cannot be told from known ones.
    """

    verifiers: dict[str, ScramVerifier]
    tls: ssl.SSLContext | None = None
    requires_tls: bool = False
    stranger: ScramVerifier = field(
        default_factory=lambda: make_verifier(secrets.token_hex(_NO_PASSWORD_BYTES))
    )

    def find_verifier(self, user: str) -> ScramVerifier | None:
        """Return what a user must prove; None if nothing."""
        if not self.verifiers:
            return None
        return self.verifiers.get(user, self.stranger)
