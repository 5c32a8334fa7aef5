"""Port to the platform's call that promotes a database."""

from datetime import timedelta
from typing import Protocol

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode

# The platform may carry out a call that it has not answered up to 12 s later.
LATE_ORDER_LIMIT = timedelta(seconds=12)


class PromotionRefused(CodedError):
    """The platform refused the promotion; it will not be carried out later either."""

    def __init__(self, detail: str):
        super().__init__(ResultCode.PLATFORM_CONFLICT, detail)


class Failover(Protocol):
    """Requests promotions that carry a fencing token."""

    async def promote(self, service: str, database_id: str, token: int) -> None:
        """Request that a database be promoted to leader of its service.

        Raises
        ------
        PromotionRefused
            If a higher token was used or the database is not running.
        CodedError
            PLATFORM_UNAVAILABLE if the outcome is unknown: the promotion may have
            been carried out, or may be later.
        """
