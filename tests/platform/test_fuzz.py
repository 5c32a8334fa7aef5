"""Untrusted bytes from callers, databases, the store and peers."""

import time
from datetime import timedelta

import anyio
import hypothesis.strategies as st
import msgspec
from hypothesis import example, given
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not, StartsWith

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.decode_errors import DECODE_ERRORS
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.platform import line_codec as codec
from goldcrestpond.platform.database_entry import decode_entry
from goldcrestpond.platform.http_connection import HttpAnswer
from goldcrestpond.platform.line_buffer import LineBuffer
from goldcrestpond.platform.operator_configuration import (
    decode_configuration,
    replace_keys,
)
from goldcrestpond.platform.store_client import StoreClient
from goldcrestpond.relay import messages
from goldcrestpond.serving.members import Members
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.suspicions import Suspicions

from ..fuzz import JSON_VALUES, LINES, ON_A_RUNNING_SITE, ON_DECODERS, objects
from ..line_world import ListLog, line_world

ENTRY = ["serviceName", "address", "state", "dbRole", "zone", "slots", "warmupLeftMs"]
ENTRY += ["born", "sequence", "more"]
CONFIGURATION = ["configVersion", "routes", "services", "limits", "tenants", "more"]
MEMBER = ["availability_zone", "address", "link_mbps", "era", "more"]
NESTED = "[" * 3000
MAX_ANSWER_TIME_S = 1.0
KNOWN_ERRORS = (*DECODE_ERRORS, KeyError, CodedError)


def _decode(decode, *values):
    try:
        decode(*values)
    except KNOWN_ERRORS:
        pass


@ON_DECODERS
@given(LINES)
@example("replica 3 3.1209 0 inf 2 17")
@example("replica 3 3.1209 0 nan 2 17")
def test_lines_are_decoded_or_refused(line):
    def as_statement():
        message = codec.decode_caller_line(line)
        if isinstance(message, codec.Query):
            codec.decode_statement(message)

    _decode(as_statement)
    _decode(codec.ReplyDecoder().feed, line)
    _decode(codec.decode_report, line)
    _decode(codec.decode_position, line)
    codec.decode_connect_refusal(line)


@ON_DECODERS
@given(st.lists(st.binary(max_size=50)))
def test_lines_do_not_depend_on_how_bytes_are_split(pieces):
    def lines(parts):
        buffer = LineBuffer()
        found = []
        for part in parts:
            buffer.feed(part)
            while (line := buffer.next_line()) is not None:
                found.append(line)
        return found

    assert_that(lines(pieces), Equals(lines([b"".join(pieces)])))


@ON_DECODERS
@given(objects(ENTRY), objects(CONFIGURATION))
@example(b'{"more":' + NESTED.encode(), b'{"routes":' + NESTED.encode())
def test_rows_are_decoded_or_raise_a_known_error(entry, configuration):
    _decode(decode_entry, "k", entry)
    _decode(decode_configuration, configuration)
    _decode(decode_configuration, replace_keys(configuration))


@ON_DECODERS
@given(objects(MEMBER))
@example(b'{"more":' + NESTED.encode() + b"}")
def test_rows_of_members_and_suspicions_never_raise(value):
    row = StoredRow("t", "", "service/instance", value, 1)
    now = timedelta(seconds=1)
    members, suspicions = Members(), Suspicions()
    members.replace([row], now, 1)
    members.live(now)
    suspicions.replace([row], now, 1)
    suspicions.suspecting_instances("service", now)


@ON_DECODERS
@given(st.binary(max_size=200))
@example(b"\x91" * 3000)
def test_messages_of_peers_are_decoded_or_refused(body):
    _decode(messages.decode_request, body)
    _decode(messages.decode_response, body)


_SECRETS = st.recursive(
    st.sampled_from(["secret", None, 7]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.just("secret"), inner, max_size=1)
    ),
)
_COLUMNS = st.lists(st.sampled_from(["name", "apiKeys", "burst", "other"]), max_size=4)


@st.composite
def _organisation_tables(draw):
    """Tables of any width in which only the column of the keys contains secrets."""
    columns = draw(_COLUMNS)
    rows = [
        [
            draw(_SECRETS) if name == "apiKeys" else draw(st.integers())
            for name in columns
        ]
        for _ in range(draw(st.integers(0, 3)))
    ]
    cut = draw(st.integers(0, 5))
    return {"columns": columns, "rows": [row[: len(row) - cut // 4] for row in rows]}


# Keys in a table of any shape must neither be passed on nor quoted.
@ON_DECODERS
@given(_organisation_tables())
def test_no_key_is_passed_on_or_quoted(table):
    routes = {"columns": [], "rows": []}
    body = {"configVersion": 7, "routes": routes, "services": routes, "tenants": table}
    value = msgspec.json.encode(body)
    passed = replace_keys(value)
    assert_that(passed, Not(Contains(b"secret")))
    for each in (value, passed):
        try:
            decode_configuration(each)
        except KNOWN_ERRORS as error:
            assert_that(str(error), Not(Contains("secret")))


ANSWER = ["rows", "ver", "nowMs", "hasMore", "more"]


class _Http:
    """Answers each call with the same body."""

    def __init__(self, answer):
        self._answer = answer

    async def request(self, *call):
        return self._answer


@ON_DECODERS
@given(objects(ANSWER), st.sampled_from(["1", "x", "9" * 30, "-1", "\u0661"]))
@example(b'{"rows":' + NESTED.encode(), "1")
@example(b'{"rows":[{"key":"k","value":"%%%","ver":2}]}', "1")
def test_answers_of_the_store_are_decoded_or_raise_unavailable(body, era):
    http = _Http(HttpAnswer(200, {"store-era": era}, body))
    store = StoreClient(http, StoreEra(SystemClock(), ListLog(), Metrics()))

    async def run():
        for call in (store.wait_for_changes("t", 1, timedelta(0)), store.write([], [])):
            try:
                await call
            except CodedError as error:
                assert_that(error.code, Equals(ResultCode.PLATFORM_UNAVAILABLE))

    anyio.run(run)


ROWS = st.one_of(
    st.tuples(st.just("servers"), objects(ENTRY)),
    st.tuples(st.just("op"), objects(CONFIGURATION)),
    st.tuples(st.sampled_from(["member", "suspicion", "succession"]), objects(MEMBER)),
    st.tuples(st.just("servers"), JSON_VALUES.map(lambda text: text.encode())),
)


# Guards against: input of a caller or a row of the store ends an instance, blocks its
# event loop or changes what another caller gets.
@ON_A_RUNNING_SITE
@given(st.lists(LINES, min_size=20, max_size=60), st.lists(ROWS, min_size=5))
def test_any_input_leaves_other_callers_served(lines, rows):
    async def send(address, text):
        try:
            stream = await anyio.connect_tcp(*address)
            async with stream:
                await stream.send(text.encode("latin-1", "replace"))
                with anyio.move_on_after(0.02):
                    while True:
                        await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass  # the instance closed the connection

    async def ask_repeatedly(world, answer_times_s):
        async with world.caller("own") as caller:
            while True:
                started_at_s = time.monotonic()
                answer = await caller.ask("READ a")
                answer_times_s.append(time.monotonic() - started_at_s)
                assert_that(answer[-1], StartsWith("READY I"))
                assert_that(answer[-2], StartsWith("COMPLETE r"))

    async def run():
        answer_times_s = []
        with anyio.fail_after(60):
            async with line_world() as world, anyio.create_task_group() as tasks:
                address = world.instances[0].caller_address
                await _wait_until_served(world)
                tasks.start_soon(ask_repeatedly, world, answer_times_s)
                for number, (table, value) in enumerate(rows):
                    key = "config" if table == "op" else f"fuzz{number}"
                    world.platform.put(table, key, value)
                for number, line in enumerate(lines):
                    head = "CONNECT own x\r\n" if number % 3 else ""
                    middle = "QUERY q " if number % 2 else ""
                    await send(address, f"{head}{middle}{line}\r\n{line}")
                tasks.cancel_scope.cancel()
        assert_that(max(answer_times_s), LessThan(MAX_ANSWER_TIME_S))

    anyio.run(run)


async def _wait_until_served(world):
    async with world.caller("own") as caller:
        answer = await caller.ask("WRITE a 1")
        while not answer[0].startswith("COMPLETE"):
            answer = await caller.ask("WRITE a 1")
