"""Checks the addresses of a settings file."""

import msgspec

from ..errors.coded_error import CodedError
from .address import parse_address


def check_addresses(path: str, settings: msgspec.Struct, *keys: str) -> None:
    """Check that each key holds addresses; an empty text stands for none.

    Parameters
    ----------
    path : str
        Settings file, for the error.
    settings : msgspec.Struct
        What was read from it.
    *keys : str
        Keys whose value is an ``IP:PORT`` text or a list of them.

    Raises
    ------
    CodedError
        SETTINGS_INVALID, naming file and key.
    """
    for key in keys:
        value = getattr(settings, key)
        texts = [value] if isinstance(value, str) else value
        for text in filter(None, texts):
            try:
                parse_address(text)
            except CodedError as error:
                raise CodedError(
                    error.code, f"{path}: {key}: {error.detail}"
                ) from error
