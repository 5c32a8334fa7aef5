"""Requests promotions of databases from the platform."""

from datetime import timedelta

import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..serving.failover import PromotionRefused
from .http_client import HttpClient

CALL_TIMEOUT = timedelta(milliseconds=1000)  # the platform answers before the promotion
_HOLDER_HEADER = "X-Goldcrestpond-Duty-Holder"
_FENCING_TOKEN_HEADER = "X-Goldcrestpond-Fencing-Token"


class _FailoverBody(msgspec.Struct, rename="camel"):
    service_name: str
    id: str


class FailoverClient:
    """Client of the platform's HTTP call that promotes a database.

    Parameters
    ----------
    http : HttpClient
        Client of the address in the setting ``duties``.
    instance : str
        Name of this instance.
    """

    __slots__ = ("_http", "_instance")

    def __init__(self, http: HttpClient, instance: str):
        self._http = http
        self._instance = instance

    async def promote(self, service: str, database_id: str, token: int) -> None:
        """Request that a database be promoted to the leader of its service.

        Raises
        ------
        PromotionRefused
            If a newer token has been used or the database is not running.
        CodedError
            PLATFORM_UNAVAILABLE if there was no answer; the promotion may have
            been carried out or may still be carried out later.
        """
        headers = [
            ("Content-Type", "application/json"),
            (_HOLDER_HEADER, self._instance),
            (_FENCING_TOKEN_HEADER, str(token)),
        ]
        body = msgspec.json.encode(_FailoverBody(service, database_id))
        answer = await self._http.request(
            "POST", "/failover", CALL_TIMEOUT, headers, body
        )
        if answer.status == 409:
            raise PromotionRefused(f"{service}: {database_id} with token {token}")
        if answer.status != 200:
            detail = f"POST /failover: status {answer.status}"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
