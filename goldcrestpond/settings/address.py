"""IP address and port, as written in settings files."""

import ipaddress
from dataclasses import dataclass

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class Address:
    """Address that a process listens on or is reached at.

    Attributes
    ----------
    host : str
        IP address; host names are not resolved.
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
        SETTINGS_INVALID if the text is not an IP address with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise _make_address_error(text) from error
    if not 0 <= number <= 65535:
        raise _make_address_error(text)
    return Address(str(ip), number)


def _make_address_error(text: str) -> CodedError:
    return CodedError(
        ResultCode.SETTINGS_INVALID, f"{text!r} is not an IP:PORT address"
    )
