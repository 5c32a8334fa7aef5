"""Opens the file to which a process appends its events."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

WriteLine = Callable[[bytes], object]


@contextmanager
def open_event_sink(path: str) -> Iterator[WriteLine]:
    """Yield a function that appends one line; with an empty path, it drops the line.

    Raises
    ------
    CodedError
        SETTINGS_INVALID if the file cannot be opened.
    """
    if not path:
        yield lambda line: None
        return
    try:
        file = open(path, "ab", buffering=0)
    except OSError as error:
        raise CodedError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error
    with file:
        yield file.write
