"""Client side of SCRAM-SHA-256 authentication to an endpoint."""

from pygwire.messages import (
    AuthenticationSASL,
    AuthenticationSASLContinue,
    AuthenticationSASLFinal,
    SASLInitialResponse,
    SASLResponse,
)
from scramp import ScramClient, ScramException

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.frame import Frame

MECHANISM = "SCRAM-SHA-256"
# Codes of authentication requests in the PostgreSQL protocol.
REQUEST_OK = 0
REQUEST_SASL = 10
REQUEST_SASL_CONTINUE = 11
REQUEST_SASL_FINAL = 12


class ScramClientLogin:
    """Answers an endpoint's authentication requests.

    Parameters
    ----------
    user, password : str
        Credentials.
    """

    __slots__ = ("_client", "_is_server_verified", "_password", "_user")

    def __init__(self, user: str, password: str):
        self._user = user
        self._password = password
        self._client: ScramClient | None = None
        self._is_server_verified = False

    def answer(self, frame: Frame) -> bytes:
        """Return the response to an authentication request; empty if it needs none.

        Raises
        ------
        CodedError
            ENDPOINT_UNREACHABLE if the requested method is not supported, the
            exchange fails, or the endpoint did not prove that it knows the password.
        """
        request = int.from_bytes(frame.data[5:9], "big")
        try:
            return self._respond(request, frame)
        except (ScramException, ValueError) as error:
            raise CodedError(
                ResultCode.ENDPOINT_UNREACHABLE, "authentication failed"
            ) from error

    def _respond(self, request: int, frame: Frame) -> bytes:
        if request == REQUEST_SASL:
            return self._begin(AuthenticationSASL.decode(frame.body).mechanisms)
        if request == REQUEST_SASL_CONTINUE and self._client:
            message = AuthenticationSASLContinue.decode(frame.body)
            self._client.set_server_first(bytes(message.data).decode())
            proof = self._client.get_client_final()
            return SASLResponse(data=proof.encode()).to_wire()
        if request == REQUEST_SASL_FINAL and self._client:
            message = AuthenticationSASLFinal.decode(frame.body)
            self._client.set_server_final(bytes(message.data).decode())
            self._is_server_verified = True
            return b""
        if request == REQUEST_OK and self._client is None or self._is_server_verified:
            return b""
        raise ValueError(f"unsupported or unexpected authentication request {request}")

    def _begin(self, mechanisms: list[str]) -> bytes:
        if MECHANISM not in mechanisms or not self._password:
            raise ValueError(f"no password, or none of {mechanisms} is supported")
        self._client = ScramClient([MECHANISM], self._user, self._password)
        first = self._client.get_client_first()
        return SASLInitialResponse(MECHANISM, first.encode()).to_wire()
