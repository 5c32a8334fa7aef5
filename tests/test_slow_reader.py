"""A caller that reads its answer late, over real sockets."""

import struct

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

ROW_COUNT = 20_000
ROW_BYTES = 1_000
# Upper bound of what the socket buffers on both sides and one relayed read hold.
MAX_BUFFERED_BYTES = 8 << 20
READ_BYTES = 65536
STARTUP = (
    struct.pack("!II", 8 + 10 + 14 + 1, 196608) + b"user\0demo\0database\0fuel\0\0"
)
SQL = (
    "WITH RECURSIVE n(i) AS"
    f" (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROW_COUNT})"
    f" SELECT hex(zeroblob({ROW_BYTES // 2})) FROM n"
)


def _query(sql):
    body = sql.encode() + b"\0"
    return b"Q" + struct.pack("!I", len(body) + 4) + body


async def _read_frames(stream, kinds):
    """Read frames and count them by kind until ReadyForQuery."""
    data = bytearray()
    while True:
        data += await stream.receive(READ_BYTES)
        offset = 0
        while len(data) - offset >= 5:
            (length,) = struct.unpack_from("!I", data, offset + 1)
            if len(data) - offset < 1 + length:
                break
            kind = chr(data[offset])
            kinds[kind] = kinds.get(kind, 0) + 1
            offset += 1 + length
            if kind == "Z":
                return
        del data[:offset]


async def test_answer_to_a_slow_reader_is_not_buffered_and_arrives_whole():
    async with run_fuel_site(proxy_count=1) as site:
        proxy = site.proxies[0]
        address = proxy.address
        async with await anyio.connect_tcp(address.host, address.port) as caller:
            await caller.send(STARTUP)
            await _read_frames(caller, {})
            await caller.send(_query(SQL))
            await anyio.sleep(1.5)  # a silent endpoint connection is closed earlier
            received_bytes = _received_bytes(proxy)
            assert_that(0 < received_bytes < MAX_BUFFERED_BYTES, Equals(True))
            assert_that(received_bytes < ROW_COUNT * ROW_BYTES, Equals(True))
            async with await connect_with_psycopg(site) as other:
                await other.execute("SELECT 1")
            kinds = {}
            await _read_frames(caller, kinds)
        assert_that(kinds["D"], Equals(ROW_COUNT))
        assert_that(kinds["C"], Equals(1))
        assert_that("E" in kinds, Equals(False))


def _received_bytes(proxy):
    """Return an upper bound of the bytes read of answers that are not finished."""
    services = proxy.services
    names = services.find("fuel").databases()
    pools = [services.find_pool("fuel", name) for name in names]
    reads = sum(
        connection.receive_count
        for pool in pools
        for connection in pool._connections.values()
    )
    return reads * READ_BYTES
