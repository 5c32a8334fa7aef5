"""A running instance, to whose port for other instances anything may be sent."""

import anyio
import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, StartsWith

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.lane import Lane
from goldcrestpond.relay import messages

from ..fuzz import ON_A_RUNNING_SITE
from ..line_world import line_world

_KNOWN_TEXTS = st.sampled_from(["op", "member", "i1", "", "/followers/0"])
_TEXTS = st.one_of(_KNOWN_TEXTS, st.text())
_NUMBERS = st.one_of(st.integers(-(2**63), 2**63 - 1), st.floats(allow_nan=True))
_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), _NUMBERS, _TEXTS, st.binary(max_size=50)),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=12,
)
_PEER = messages.Peer("i9", "z", "127.0.0.1:1", 10.0)
_PEERS = st.builds(
    messages.Peer,
    _TEXTS,
    _TEXTS,
    st.sampled_from(["127.0.0.1:1", "", "x", "999.1.1.1:99999"]),
    st.floats(allow_nan=True, allow_infinity=True),
)
_FOLLOWS = st.builds(
    messages.Follow,
    _PEERS,
    st.one_of(st.none(), st.lists(_PEERS, max_size=3)),
    st.lists(
        st.builds(
            messages.KnownTable,
            _TEXTS,
            st.integers(-(2**40), 2**40),
            st.one_of(st.none(), st.integers(-(2**40), 2**40)),
        ),
        max_size=4,
    ),
    st.floats(allow_nan=True, allow_infinity=True),
    st.booleans(),
)


def _frame(body):
    return len(body).to_bytes(4) + body


_FRAMES = st.one_of(
    st.builds(messages.encode, _FOLLOWS),
    st.builds(lambda value: _frame(msgspec.msgpack.encode(value)), _VALUES),
    st.builds(
        lambda tag, rest: _frame(msgspec.msgpack.encode([tag, *rest])),
        st.sampled_from(["Follow", "Lend", "Execute", "Prove", "Seal", "Release"]),
        st.lists(_VALUES, max_size=8),
    ),
    st.binary(max_size=80),
)


async def _send(address, data):
    try:
        async with await anyio.connect_tcp(address.host, address.port) as stream:
            await stream.send(data)
            with anyio.move_on_after(0.01):
                while True:
                    await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        pass  # the instance closed the connection


# A wait of infinite length, and one longer than a span of time may be, were an
# unexpected error of the channel's task.
@pytest.mark.parametrize("wait_ms", [float("inf"), float("nan"), 1e300])
@pytest.mark.parametrize(
    "make",
    [
        lambda wait_ms: messages.Lend("fuel", "d1", "c", Lane.SHORT, wait_ms),
        lambda wait_ms: messages.Prove("fuel", wait_ms),
        lambda wait_ms: messages.Seal("fuel", "d1", wait_ms),
        lambda wait_ms: messages.Follow(_PEER, None, [], wait_ms),
    ],
)
def test_impossible_wait_is_malformed(make, wait_ms):
    with pytest.raises(CodedError) as caught:
        messages.decode_request(messages.encode(make(wait_ms))[messages.LENGTH_BYTES :])
    assert_that(caught.value.code, Is(ResultCode.PEER_MALFORMED))


# One malformed message of another instance took a process down.
@ON_A_RUNNING_SITE
@given(st.lists(_FRAMES, min_size=30, max_size=60))
def test_whatever_is_sent_to_the_peer_port_callers_are_served(frames):
    async def run():
        async with line_world(2) as world:
            address = world.instances[0].peer_address
            for data in frames:
                await _send(address, data)
            async with world.caller("own") as caller:
                assert_that((await caller.ask("READ a"))[-1], StartsWith("READY I"))
            failed = [log.events().count("task failed") for log in world.logs]
            assert_that(failed, Equals([0, 0]))

    anyio.run(run)
