"""Checks who may use the resource API."""

import hmac
import ipaddress

from starlette.requests import Request

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_SCHEME = "bearer "


def check_bearer(request: Request, tokens: list[str]) -> None:
    """Refuse a request without a valid bearer token.

    Without any token in the settings, only loopback clients are admitted.

    Raises
    ------
    CodedError
        UNAUTHORIZED.
    """
    if not tokens:
        _require_loopback(request)
        return
    header = request.headers.get("Authorization", "")
    given = header[len(_SCHEME) :] if header.lower().startswith(_SCHEME) else ""
    matches = [hmac.compare_digest(given.encode(), known.encode()) for known in tokens]
    if not any(matches):
        raise CodedError(ResultCode.UNAUTHORIZED)


def check_tokens_for_address(host: str, tokens: list[str]) -> None:
    """Refuse settings that would serve other machines without tokens.

    Raises
    ------
    CodedError
        SETTINGS_INVALID.
    """
    if not tokens and not ipaddress.ip_address(host).is_loopback:
        detail = f"api: tokens are needed to listen on {host}"
        raise CodedError(ResultCode.SETTINGS_INVALID, detail)


def _require_loopback(request: Request) -> None:
    host = request.client.host if request.client else ""
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        detail = "no tokens are set; only loopback is admitted"
        raise CodedError(ResultCode.UNAUTHORIZED, detail)
