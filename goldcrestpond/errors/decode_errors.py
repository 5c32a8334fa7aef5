"""Exceptions that decoding of untrusted bytes may raise."""

import msgspec

# msgspec raises RecursionError for nesting deeper than the interpreter's stack;
# numbers out of range of a timedelta or an integer raise OverflowError.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError)
