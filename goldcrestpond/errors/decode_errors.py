"""What decoding bytes of another writer may raise."""

import msgspec

# Nesting deeper than the interpreter's stack, and numbers beyond what a span of time
# or an integer holds, are no errors of msgspec's.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, OverflowError)
