"""Malformed input ends one caller's session with an error and affects no other."""

import struct

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.wire.batch import read_batch
from goldcrestpond.wire.caller_access import CallerAccess
from goldcrestpond.wire.caller_stream import CallerGone, CallerStream
from goldcrestpond.wire.declarations import Declarations
from goldcrestpond.wire.local_answers import LocalAnswers
from goldcrestpond.wire.startup import read_startup

from .site import connect_with_psycopg, run_fuel_site

STARTUP = struct.pack("!II", 28, 196608) + b"user\0demo\0database\0"
GOOD_STARTUP = (
    struct.pack("!II", 8 + 10 + 14 + 1, 196608) + b"user\0demo\0database\0fuel\0\0"
)


class BytesStream:
    """A stream that returns the given bytes and then ends."""

    def __init__(self, data):
        self.data = data

    async def receive(self, max_bytes):
        if not self.data:
            raise anyio.EndOfStream
        part, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return part

    async def send(self, data):
        pass


async def read_all(data):
    stream = CallerStream(BytesStream(data), frame_limit_bytes=100)
    await read_startup(stream, CallerAccess({}))
    local = LocalAnswers(Declarations(), lambda: "fuel")
    while True:
        batch = await read_batch(stream, batch_limit_bytes=300)
        batch.first_statement()
        local.is_local(batch)


frame = st.builds(
    lambda kind, body: kind + struct.pack("!I", len(body) + 4) + body,
    st.sampled_from([b"Q", b"P", b"B", b"D", b"E", b"S", b"H", b"C", b"F", b"d"]),
    st.binary(max_size=30),
)


@given(
    st.one_of(
        st.binary(max_size=80),
        st.lists(frame, max_size=6).map(lambda parts: GOOD_STARTUP + b"".join(parts)),
    ),
    st.integers(0, 80),
)
def test_any_bytes_end_in_a_coded_error_or_a_closed_connection(data, truncated_bytes):
    with pytest.raises((CodedError, CallerGone)):
        anyio.run(read_all, data[: max(0, len(data) - truncated_bytes)])


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=1) as running:
        yield running


async def send_raw(site, data):
    address = site.proxies[0].address
    answer = b""
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(data)
        with anyio.fail_after(5):
            while True:
                try:
                    answer += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return answer


@pytest.mark.anyio
@pytest.mark.parametrize(
    "data,code",
    [
        (struct.pack("!II", 9999999, 196608), b"GP101"),
        (struct.pack("!II", 8, 12345), b"GP101"),
        (struct.pack("!II", 9, 196608) + b"\0", b"GP101"),
        (GOOD_STARTUP + b"Q" + struct.pack("!I", 1 << 30), b"GP103"),
        (GOOD_STARTUP + b"Q" + struct.pack("!I", 1), b"GP104"),
        (GOOD_STARTUP + b"Q" + struct.pack("!I", 6) + b"\xff\xff", b"GP104"),
        (GOOD_STARTUP + b"y" + struct.pack("!I", 4), b"GP104"),
        (GOOD_STARTUP + b"F" + struct.pack("!I", 4), b"GP106"),
    ],
)
async def test_malformed_bytes_get_a_numbered_error_and_affect_no_other_caller(
    site, data, code
):
    async with await connect_with_psycopg(site) as other_caller:
        answer = await send_raw(site, data + b"X" + struct.pack("!I", 4))
        assert_that(answer, Contains(code))
        cursor = await other_caller.execute("SELECT 5")
        assert_that(int((await cursor.fetchone())[0]), Equals(5))


@pytest.mark.anyio
async def test_frames_after_a_failed_describe_are_skipped_up_to_sync(site):
    describe_unknown = b"D" + struct.pack("!I", 10) + b"Snope\0"
    flush = b"H" + struct.pack("!I", 4)
    sync = b"S" + struct.pack("!I", 4)
    query = b"Q" + struct.pack("!I", 13) + b"SELECT 5\0"
    terminate = b"X" + struct.pack("!I", 4)
    data = GOOD_STARTUP + describe_unknown + flush + describe_unknown + sync + query
    answer = await send_raw(site, data + terminate)
    assert_that(answer, Contains(b"26000"))
    assert_that(answer.count(b"Z\0\0\0\5I"), Equals(3))
