"""Builds the frames that a caller receives before its first request."""

from pygwire.messages import AuthenticationOk, BackendKeyData

from ..frames.build import READY_IDLE, parameter_frame

SERVER_VERSION = "15.0"  # drivers choose their SQL by the version
_PARAMETERS = (
    ("server_version", SERVER_VERSION),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)


def build_greeting(process_id: int, secret_key: bytes, instance: str) -> bytes:
    """Return the frames that follow a successful authentication.

    Parameters
    ----------
    process_id : int
        Process id for CancelRequest.
    secret_key : bytes
        Secret key for CancelRequest.
    instance : str
        Name of the instance, sent as the parameter ``goldcrestpond.instance``.
    """
    parameters = [*_PARAMETERS, ("goldcrestpond.instance", instance)]
    return b"".join(
        [
            AuthenticationOk().to_wire(),
            *(parameter_frame(name, value) for name, value in parameters),
            BackendKeyData(process_id=process_id, secret_key=secret_key).to_wire(),
            READY_IDLE,
        ]
    )
