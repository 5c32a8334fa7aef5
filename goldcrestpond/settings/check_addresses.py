"""Checks the addresses of a settings file."""

import msgspec

from ..errors.coded_error import CodedError
from .address import parse_address


def check_addresses(path: str, settings: msgspec.Struct, *keys: str) -> None:
    """Check that the values of some keys are addresses or empty.

    Parameters
    ----------
    path : str
        Path of the settings file, for error messages.
    settings : msgspec.Struct
        Settings read from the file.
    *keys : str
        Keys whose value is an ``IP:PORT`` string or a list of them.

    Raises
    ------
    CodedError
        SETTINGS_INVALID; the detail names file and key.
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
