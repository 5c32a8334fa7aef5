"""A caller that does not read its answer, over real sockets."""

import struct

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

ROWS = 20_000
ROW_BYTES = 1_000
# What the sockets of both sides and one relayed read hold on this machine.
BUFFERED_BYTES = 8 << 20
READ_BYTES = 65536
STARTUP = (
    struct.pack("!II", 8 + 10 + 14 + 1, 196608) + b"user\0demo\0database\0fuel\0\0"
)
SQL = (
    f"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROWS})"
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
        at = 0
        while len(data) - at >= 5:
            (length,) = struct.unpack_from("!I", data, at + 1)
            if len(data) - at < 1 + length:
                break
            kind = chr(data[at])
            kinds[kind] = kinds.get(kind, 0) + 1
            at += 1 + length
            if kind == "Z":
                return
        del data[:at]


async def test_slow_reader_holds_little_and_gets_its_whole_answer():
    async with run_fuel_site(proxy_count=1) as site:
        proxy = site.proxies[0]
        address = proxy.address
        async with await anyio.connect_tcp(address.host, address.port) as caller:
            await caller.send(STARTUP)
            await _read_frames(caller, {})
            await caller.send(_query(SQL))
            await anyio.sleep(1.5)  # longer than a silent connection is let live
            received = _received_bytes(proxy)
            assert_that(0 < received < BUFFERED_BYTES, Equals(True))
            assert_that(received < ROWS * ROW_BYTES, Equals(True))
            async with await connect_with_psycopg(site) as other:
                await other.execute("SELECT 1")
            kinds = {}
            await _read_frames(caller, kinds)
        assert_that(kinds["D"], Equals(ROWS))
        assert_that(kinds["C"], Equals(1))
        assert_that("E" in kinds, Equals(False))


def _received_bytes(proxy):
    """Return at most how much the proxy has read of answers that still run."""
    services = proxy.services
    names = services.find("fuel").databases()
    pools = [services.find_pool("fuel", name) for name in names]
    reads = sum(
        connection.receive_count
        for pool in pools
        for connection in pool._connections.values()
    )
    return reads * READ_BYTES
