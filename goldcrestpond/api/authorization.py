"""Authorizes requests to the resource API."""

import hmac
import ipaddress

from starlette.requests import Request

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_SCHEME = "bearer "


def check_bearer(request: Request, tokens: list[str]) -> None:
    """Refuse a request without a valid bearer token.

    If ``tokens`` is empty, only loopback clients are admitted.

    Raises
    ------
    CodedError
        UNAUTHORIZED if the client is not admitted.
    """
    if not tokens:
        _require_loopback(request)
        return
    header = request.headers.get("Authorization", "")
    given_token = header[len(_SCHEME) :] if header.lower().startswith(_SCHEME) else ""
    matches = [
        hmac.compare_digest(given_token.encode(), valid_token.encode())
        for valid_token in tokens
    ]
    if not any(matches):
        raise CodedError(ResultCode.UNAUTHORIZED)


def check_tokens_for_address(host: str, tokens: list[str]) -> None:
    """Refuse to listen on an address other than loopback without tokens.

    Raises
    ------
    CodedError
        SETTINGS_INVALID if the address is not loopback and there are no tokens.
    """
    if not tokens and not ipaddress.ip_address(host).is_loopback:
        detail = f"api: tokens are required to listen on {host}"
        raise CodedError(ResultCode.SETTINGS_INVALID, detail)


def _require_loopback(request: Request) -> None:
    host = request.client.host if request.client else ""
    try:
        is_loopback_host = ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback_host = False
    if not is_loopback_host:
        detail = "no tokens are set; only loopback clients are admitted"
        raise CodedError(ResultCode.UNAUTHORIZED, detail)
