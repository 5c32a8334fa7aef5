"""Exit statuses of the command-line programs."""

from .result_code import ResultCode

# An exit status has one byte: each hundred of numbers takes a range of 20.
_RANGE_PER_HUNDRED = 20


def exit_status(code: ResultCode) -> int:
    """Return the exit status of a program that ends with this result.

    Returns
    -------
    int
        20 for each hundred of the number plus its last two digits, for
        instance 83 for RESOURCE_CONFLICT (403).
    """
    hundreds, rest = divmod(code.number, 100)
    return hundreds * _RANGE_PER_HUNDRED + rest
