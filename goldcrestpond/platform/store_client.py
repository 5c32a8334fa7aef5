"""Implements `RowStore` over the HTTP interface of the platform's store."""

import base64
from collections.abc import Sequence
from datetime import timedelta
from urllib.parse import urlencode

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..serving.row_store import (
    FeedAnswer,
    HistoryLost,
    RowConflict,
    RowPut,
    RowRevision,
    StoredRow,
)
from ..serving.store_era import StoreEra
from .http_client import HttpClient
from .http_connection import HttpAnswer

CALL_TIMEOUT = timedelta(milliseconds=1500)  # the store usually answers in 4 ms
# Added to the time that the store waits for a change, for the timeout of the call.
FEED_SLACK = timedelta(milliseconds=800)
_JSON = ("Content-Type", "application/json")
_PAGE_ROWS = 500
_ERA_HEADER = "store-era"  # the era rises when the store is restored from a copy


class _RowBody(msgspec.Struct, rename="camel"):
    table_name: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


class _RowsBody(msgspec.Struct, rename="camel"):
    rows: list[_RowBody] = []
    ver: int = 0
    now_ms: float = 0
    has_more: bool = False


class _Condition(msgspec.Struct, rename="camel"):
    table_name: str
    part: str
    key: str
    ver: int


class _Put(msgspec.Struct, rename="camel"):
    table_name: str
    part: str
    key: str
    value: str


class _Removal(msgspec.Struct, rename="camel"):
    table_name: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    precondition: list[_Condition]
    puts: list[_Put]
    remove: list[_Removal]


class StoreClient:
    """Client of the platform's store, which keeps rows with versions.

    Parameters
    ----------
    http : HttpClient
        HTTP client of the store.
    era : StoreEra
        Tracks the latest era of the store, which rises when the store is restored
        from a copy, and rejects answers of earlier ones.
    """

    __slots__ = ("_era", "_http", "_rows_decoder")

    def __init__(self, http: HttpClient, era: StoreEra):
        self._http = http
        self._era = era
        self._rows_decoder = msgspec.json.Decoder(_RowsBody)

    async def read(self, table: str, part: str = "") -> FeedAnswer:
        """Return all rows of a part and the version of the first page.

        A feed that starts at this version returns all later changes.
        """
        rows: list[StoredRow] = []
        start = ""
        version = 0
        first_era: int | None = None
        while True:
            query = {"tableName": table, "part": part, "limit": _PAGE_ROWS}
            if start:
                query["from"] = start
            body, era = await self._get("/-/rows-get", query, CALL_TIMEOUT)
            if first_era not in (None, era):
                raise HistoryLost  # the store changed its era between two pages
            first_era = era
            # A later page may already show changes that the feed will return again.
            version = version or body.ver
            rows += map(_to_row, body.rows)
            if not body.has_more or not body.rows:
                return FeedAnswer(rows, version, body.now_ms, era)
            start = body.rows[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, after: int, wait: timedelta
    ) -> FeedAnswer:
        """Return the rows changed after a version; wait if there are none yet."""
        wait_ms = wait // timedelta(milliseconds=1)
        query = {"tableName": table, "after": after, "waitMs": wait_ms}
        body, era = await self._get("/-/rows-feed", query, wait + FEED_SLACK)
        rows = [_to_row(row) for row in body.rows]
        return FeedAnswer(rows, body.ver, body.now_ms, era)

    async def write(
        self,
        conditions: Sequence[StoredRow],
        puts: Sequence[RowPut],
        removals: Sequence[StoredRow] = (),
    ) -> RowRevision:
        """Apply all changes or none; return the revision of the written rows."""
        transaction = _Transaction(
            [_Condition(c.table, c.part, c.key, c.version) for c in conditions],
            [_Put(p.table, p.part, p.key, _encode(p.value)) for p in puts],
            [_Removal(r.table, r.part, r.key) for r in removals],
        )
        answer = await self._http.request(
            "POST",
            "/-/rows-tx",
            CALL_TIMEOUT,
            [_JSON],
            msgspec.json.encode(transaction),
        )
        era = self._check_era(answer)
        if answer.status not in (200, 412):
            raise _unavailable("POST /-/rows-tx", answer.status)
        body = self._decode(answer.body)
        if answer.status == 412:
            raise RowConflict([_to_row(row) for row in body.rows], era)
        return RowRevision(era, body.ver)

    async def _get(
        self, path: str, query: dict, timeout: timedelta
    ) -> tuple[_RowsBody, int]:
        target = f"{path}?{urlencode(query)}"
        answer = await self._http.request("GET", target, timeout)
        era = self._check_era(answer)
        if answer.status == 410:
            raise HistoryLost
        if answer.status != 200:
            raise _unavailable(f"GET {path}", answer.status)
        return self._decode(answer.body), era

    def _check_era(self, answer: HttpAnswer) -> int:
        """Return the era of an answer; raise if a later era has been seen."""
        text = answer.headers.get(_ERA_HEADER)
        if text is None:
            return self._era.current
        if not text.isdecimal():
            raise CodedError(
                ResultCode.PLATFORM_UNAVAILABLE, f"unreadable era: {text!r}"
            )
        era = int(text)
        if not self._era.accept_era(era):
            raise CodedError(
                ResultCode.PLATFORM_UNAVAILABLE, f"outdated answer of era {era}"
            )
        return era

    def _decode(self, body: bytes) -> _RowsBody:
        try:
            return self._rows_decoder.decode(body)
        except DECODE_ERRORS as error:
            detail = f"unreadable answer: {error}"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error


def _to_row(body: _RowBody) -> StoredRow:
    value = None
    if not body.deleted:
        try:
            value = base64.b64decode(body.value)
        except ValueError:
            value = b""  # not valid JSON: decoding the row reports it as unreadable
    return StoredRow(body.table_name, body.part, body.key, value, body.ver)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")


def _unavailable(call: str, status: int) -> CodedError:
    return CodedError(ResultCode.PLATFORM_UNAVAILABLE, f"{call}: status {status}")
