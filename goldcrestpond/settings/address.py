"""An IP address with a port, as settings write it."""

import ipaddress
from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens or is reached.

    Attributes
    ----------
    host : str
        IP number; names are not resolved.
    port : int
        Port, 0 to 65535; 0 lets the operating system choose.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT`` or ``[IP6]:PORT``.

    Raises
    ------
    CodedError
        SETTINGS_INVALID if the text is no IP number with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise _bad_address(text) from error
    if not 0 <= number <= 65535:
        raise _bad_address(text)
    return Address(str(ip), number)


def _bad_address(text: str) -> CodedError:
    return CodedError(ResultCode.SETTINGS_INVALID, f"{text!r} is no IP:PORT address")
