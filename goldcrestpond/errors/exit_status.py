"""Exit statuses of the command-line programs."""

from .result_code import ResultCode

# An exit status has one byte, so each hundred of codes is mapped to 20 statuses.
_RANGE_PER_HUNDRED = 20


def exit_status(code: ResultCode) -> int:
    """Return the exit status of a program that ends with this result code.

    Returns
    -------
    int
        20 times the hundreds of the number plus its last two digits, e.g. 83 for
        RESOURCE_CONFLICT (403).
    """
    hundreds, rest = divmod(code.number, 100)
    return hundreds * _RANGE_PER_HUNDRED + rest
