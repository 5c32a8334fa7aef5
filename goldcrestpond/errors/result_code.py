"""Numbered result codes, each with its SQLSTATE and HTTP status."""

from enum import Enum


class ResultCode(Enum):
    """A numbered result with its SQLSTATE for callers and HTTP status for operators.

    Each value is ``(number, sqlstate, http_status, meaning)``. Numbers are
    grouped by hundreds: 1xx callers, 2xx endpoints, 3xx outcome, 4xx
    resources, 5xx platform, 6xx settings, 7xx peers. A number is never reused.
    """

    MALFORMED_STARTUP = (101, "08P01", 400, "The startup packet cannot be read.")
    UNKNOWN_DATABASE = (102, "3D000", 404, "No route has this database name.")
    FRAME_TOO_LARGE = (103, "08P01", 413, "A frame exceeds the size limit.")
    MALFORMED_FRAME = (104, "08P01", 400, "A frame cannot be read.")
    AUTHENTICATION_FAILED = (105, "28P01", 401, "The credentials are not valid.")
    NOT_CARRIED = (106, "0A000", 501, "The proxy does not support this request.")
    ROUTE_REFUSED = (107, "28000", 403, "The route does not admit this caller.")
    TOO_MANY_CALLERS = (108, "53300", 503, "The instance has too many callers.")
    SHUTTING_DOWN = (109, "57P01", 503, "The instance is shutting down.")
    BAD_PARAMETER = (110, "22023", 400, "A goldcrestpond parameter is not valid.")
    BAD_TOKEN = (111, "22023", 400, "The session token cannot be read.")
    TOKEN_BEYOND_HISTORY = (112, "22023", 400, "The token's write is not in the log.")
    ENCRYPTION_REQUIRED = (113, "28000", 403, "The instance requires TLS.")
    IDLE_TRANSACTION = (114, "25P03", 408, "Rolled back: idle for too long.")
    TRANSACTION_FAILED = (115, "25P02", 409, "The transaction failed; roll it back.")
    STATEMENT_UNKNOWN = (116, "26000", 404, "No prepared statement has this name.")
    SESSION_TOO_LARGE = (117, "54000", 413, "The session state is too large.")
    RATE_EXCEEDED = (118, "53000", 429, "The organisation's rate is exceeded; not run.")
    IDENTITY_UNPROVEN = (
        119,
        "57P03",
        503,
        "The instance cannot prove that its keys are current; not run.",
    )

    NO_PRIMARY = (201, "57P03", 503, "The group has no primary; not run.")
    ENDPOINT_UNREACHABLE = (202, "08001", 503, "No endpoint is reachable; not run.")
    QUEUE_DEADLINE = (203, "57P05", 503, "The queue deadline passed; not run.")
    OVERLOADED = (204, "53000", 503, "Rejected because of overload; not run.")
    NO_FRESH_REPLICA = (205, "57P03", 503, "No replica is fresh enough; not run.")
    ENDPOINT_LEAVING = (206, "57P03", 503, "The endpoint is draining; not run.")
    RETRY_BUDGET_SPENT = (207, "53000", 503, "The retry budget is exhausted; not run.")
    ENDPOINT_REFUSED = (208, "58000", 502, "The endpoint refused a statement.")
    ENDPOINT_MALFORMED = (209, "58000", 502, "An endpoint's answer cannot be read.")
    PRIMARY_REPLACED = (210, "57P03", 503, "The primary was replaced; not run.")
    ENDPOINT_FULL = (211, "53300", 503, "The endpoint accepts no more connections.")
    ENDPOINT_BUSY = (212, "53000", 503, "The endpoint had no slot; not run.")
    ENDPOINT_TIMEOUT = (213, "57014", 504, "The statement timed out at the endpoint.")
    WRONG_ENDPOINT = (214, "08001", 503, "Another endpoint has this address; not run.")
    COMMITS_STALLED = (215, "57P03", 503, "Replicas receive no commits; not run.")

    OUTCOME_UNKNOWN = (301, "08007", 502, "The outcome is unknown.")
    TERM_SUPERSEDED = (302, "08007", 502, "The term ended; the outcome is unknown.")
    ANSWER_INTERRUPTED = (303, "08006", 502, "The answer was interrupted.")
    PROGRESS_DEADLINE = (304, "08007", 504, "No progress; the outcome is unknown.")
    ROLLED_BACK = (305, "40001", 503, "The request was rolled back; not run.")

    RESOURCE_INVALID = (401, "22023", 422, "The resource does not match its schema.")
    RESOURCE_NOT_FOUND = (402, "42704", 404, "No resource has this name.")
    RESOURCE_CONFLICT = (403, "40001", 409, "The resource was changed concurrently.")
    CHANGE_REFUSED = (404, "55000", 422, "The change is not allowed in this state.")
    UNAUTHORIZED = (405, "28000", 401, "The bearer token is missing or not valid.")
    IDEMPOTENCY_MISMATCH = (406, "22023", 422, "The key was used for another request.")
    NOT_IN_FORCE = (407, "57P03", 504, "The change is not in force everywhere yet.")
    API_UNREACHABLE = (408, "08001", 503, "The resource API does not answer.")

    PLATFORM_UNAVAILABLE = (501, "58000", 503, "The platform does not answer.")
    PLATFORM_CONFLICT = (502, "40001", 409, "A conditional write found a newer row.")

    SETTINGS_UNREADABLE = (601, "F0000", 400, "The settings file cannot be read.")
    SETTINGS_INVALID = (602, "F0000", 422, "The settings do not match their schema.")
    ADDRESS_IN_USE = (603, "F0000", 409, "An address cannot be bound.")

    PEER_UNREACHABLE = (701, "08001", 503, "A peer does not answer.")
    PEER_MALFORMED = (702, "08P01", 400, "A peer's message cannot be read.")
    PEER_HOLDS_NOTHING = (703, "08001", 503, "A peer is not connected to the endpoint.")
    HOME_UNREACHABLE = (704, "08001", 503, "The organisation is not served; not run.")

    INTERNAL = (901, "XX000", 500, "An internal error.")

    @property
    def number(self) -> int:
        """Number of the code."""
        return self.value[0]

    @property
    def sqlstate(self) -> str:
        """SQLSTATE that callers see."""
        return self.value[1]

    @property
    def http_status(self) -> int:
        """HTTP status that operators see."""
        return self.value[2]

    @property
    def meaning(self) -> str:
        """Description in one sentence."""
        return self.value[3]
