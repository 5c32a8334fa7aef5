"""Type bytes of the frames that the proxy reads.

Source: PostgreSQL documentation, "Message Formats", protocol version 3.
"""

# Sent by callers.
BIND = ord("B")
CLOSE = ord("C")
COPY_DATA = ord("d")
COPY_DONE = ord("c")
COPY_FAIL = ord("f")
DESCRIBE = ord("D")
EXECUTE = ord("E")
FLUSH = ord("H")
FUNCTION_CALL = ord("F")
PARSE = ord("P")
PASSWORD = ord("p")
QUERY = ord("Q")
SYNC = ord("S")
TERMINATE = ord("X")

# Sent by endpoints.
AUTHENTICATION = ord("R")
BACKEND_KEY_DATA = ord("K")
BIND_COMPLETE = ord("2")
CLOSE_COMPLETE = ord("3")
COMMAND_COMPLETE = ord("C")
COPY_BOTH = ord("W")
COPY_IN = ord("G")
DATA_ROW = ord("D")
EMPTY_QUERY = ord("I")
ERROR = ord("E")
NO_DATA = ord("n")
NOTIFICATION = ord("A")
PARAMETER_DESCRIPTION = ord("t")
PARAMETER_STATUS = ord("S")
PARSE_COMPLETE = ord("1")
PORTAL_SUSPENDED = ord("s")
READY_FOR_QUERY = ord("Z")
ROW_DESCRIPTION = ord("T")
