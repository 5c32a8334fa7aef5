"""Reads a settings file into a typed class."""

from pathlib import Path
from typing import TypeVar

import json5
import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

_T = TypeVar("_T")


def load_settings(path: str, kind: type[_T]) -> _T:
    """Read a JSON file with comments and check it against ``kind``.

    Parameters
    ----------
    path : str
        Path of the settings file.
    kind : type
        A ``msgspec.Struct`` with ``forbid_unknown_fields``.

    Raises
    ------
    CodedError
        SETTINGS_UNREADABLE if the file is missing or not JSON;
        SETTINGS_INVALID if it does not match ``kind``; the detail names file
        and key.
    """
    try:
        raw = json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise CodedError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise CodedError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
