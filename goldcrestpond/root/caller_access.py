"""Reads the credentials of callers and the TLS certificate from the settings."""

import ipaddress
import ssl

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import parse_address
from ..settings.proxy_settings import ProxySettings
from ..wire.caller_access import CallerAccess
from ..wire.scram_verifier import parse_verifier


def make_caller_access(settings: ProxySettings) -> CallerAccess:
    """Return the credentials and TLS rules for callers.

    Raises
    ------
    CodedError
        SETTINGS_INVALID for a bad verifier or certificate, or if callers on other
        instances could connect without authentication though ``trust_callers`` is
        not set.
    """
    verifiers = {user: parse_verifier(text) for user, text in settings.users.items()}
    listens_on_loopback = ipaddress.ip_address(
        parse_address(settings.listen).host
    ).is_loopback
    if not (verifiers or settings.trust_callers or listens_on_loopback):
        raise CodedError(
            ResultCode.SETTINGS_INVALID,
            "users: empty; set trust_callers or listen on a loopback address",
        )
    return CallerAccess(verifiers, _make_tls(settings), settings.requires_tls)


def _make_tls(settings: ProxySettings) -> ssl.SSLContext | None:
    if not settings.tls_certificate_file:
        if settings.requires_tls:
            raise CodedError(
                ResultCode.SETTINGS_INVALID, "requires_tls: needs tls_certificate_file"
            )
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(
            settings.tls_certificate_file, settings.tls_key_file or None
        )
    except (OSError, ssl.SSLError) as error:
        raise CodedError(
            ResultCode.SETTINGS_INVALID, f"tls_certificate_file: {error}"
        ) from error
    return context
