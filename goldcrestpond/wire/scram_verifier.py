"""SCRAM-SHA-256 verifiers of callers' passwords."""

import base64
import binascii
import re
from dataclasses import dataclass

from scramp import ScramMechanism

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

MECHANISM = "SCRAM-SHA-256"
_VERIFIER_PATTERN = re.compile(
    r"SCRAM-SHA-256\$(?P<rounds>\d{1,7}):(?P<salt>[^$:]+)"
    r"\$(?P<stored>[^$:]+):(?P<server>[^$:]+)"
)


@dataclass(frozen=True, slots=True)
class ScramVerifier:
    """Data by which a caller's password is verified without storing the password.

    Attributes
    ----------
    salt : bytes
        Salt of the password.
    stored_key : bytes
        Key that verifies the caller's proof.
    server_key : bytes
        Key of the signature by which the caller verifies the server.
    rounds : int
        Iteration count of the password's hash.
    """

    salt: bytes
    stored_key: bytes
    server_key: bytes
    rounds: int

    def __str__(self) -> str:
        salt, stored, server = (
            base64.b64encode(part).decode()
            for part in (self.salt, self.stored_key, self.server_key)
        )
        return f"{MECHANISM}${self.rounds}:{salt}${stored}:{server}"


def make_verifier(password: str) -> ScramVerifier:
    """Make the verifier of a password with a random salt."""
    return ScramVerifier(*ScramMechanism(MECHANISM).make_auth_info(password))


def parse_verifier(text: str) -> ScramVerifier:
    """Parse a verifier as PostgreSQL writes it in ``pg_authid.rolpassword``.

    Raises
    ------
    CodedError
        SETTINGS_INVALID if the text is not a SCRAM-SHA-256 verifier.
    """
    match = _VERIFIER_PATTERN.fullmatch(text)
    try:
        if match is None:
            raise ValueError("not a SCRAM-SHA-256 verifier")
        return ScramVerifier(
            base64.b64decode(match["salt"], validate=True),
            base64.b64decode(match["stored"], validate=True),
            base64.b64decode(match["server"], validate=True),
            int(match["rounds"]),
        )
    except (ValueError, binascii.Error) as error:
        raise CodedError(
            ResultCode.SETTINGS_INVALID, "users: not a SCRAM-SHA-256 verifier"
        ) from error
