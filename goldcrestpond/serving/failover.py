"""The product's port to whoever carries out a promotion."""

from typing import Protocol

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


class PromotionRefused(CodedError):
    """The order was refused for good: nothing of it will be carried out."""

    def __init__(self, detail: str):
        super().__init__(ResultCode.PLATFORM_CONFLICT, detail)


class Failover(Protocol):
    """Orders promotions, fenced by tokens."""

    async def promote(self, service: str, database_id: str, token: int) -> None:
        """Order that a database leads its service.

        Raises
        ------
        PromotionRefused
            If the token is superseded or the database is not running.
        CodedError
            PLATFORM_UNAVAILABLE if the order may be carried out now or later.
        """
