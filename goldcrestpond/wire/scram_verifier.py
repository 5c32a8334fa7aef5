"""What a proxy keeps of a caller's password."""

import base64
import binascii
import re
from dataclasses import dataclass

from scramp import ScramMechanism

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

MECHANISM = "SCRAM-SHA-256"
_TEXT = re.compile(
    r"SCRAM-SHA-256\$(?P<rounds>\d{1,7}):(?P<salt>[^$:]+)"
    r"\$(?P<stored>[^$:]+):(?P<server>[^$:]+)"
)


@dataclass(frozen=True, slots=True)
class ScramVerifier:
    """Proves that a caller knows a password, without the password.

    Attributes
    ----------
    salt : bytes
        Salt of the password.
    stored_key : bytes
        Key that checks the caller's proof.
    server_key : bytes
        Key that proves the server to the caller.
    rounds : int
        Iterations of the password's hash.
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
    """Make a verifier with a fresh salt."""
    return ScramVerifier(*ScramMechanism(MECHANISM).make_auth_info(password))


def parse_verifier(text: str) -> ScramVerifier:
    """Parse a verifier as PostgreSQL writes it in ``pg_authid.rolpassword``.

    Raises
    ------
    CodedError
        SETTINGS_INVALID if the text is no verifier.
    """
    match = _TEXT.fullmatch(text)
    try:
        if match is None:
            raise ValueError("no SCRAM-SHA-256 verifier")
        return ScramVerifier(
            base64.b64decode(match["salt"], validate=True),
            base64.b64decode(match["stored"], validate=True),
            base64.b64decode(match["server"], validate=True),
            int(match["rounds"]),
        )
    except (ValueError, binascii.Error) as error:
        raise CodedError(
            ResultCode.SETTINGS_INVALID, "users: no SCRAM-SHA-256 verifier"
        ) from error
