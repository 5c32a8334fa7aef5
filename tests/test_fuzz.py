"""Untrusted input from PostgreSQL callers and from clients of the resource API."""

import struct
import time

import anyio
import hypothesis.strategies as st
from hypothesis import example, given
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.api.change_body import parse_change
from goldcrestpond.configuration.change_action import ChangeAction
from goldcrestpond.configuration.change_error import ChangeError
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.session.token import parse_token
from goldcrestpond.standin.database_error import DatabaseError
from goldcrestpond.standin.result_columns import describe_columns, describe_parameters
from goldcrestpond.standin.statement import split_statements
from goldcrestpond.wire.declarations import PREFIX, Declarations
from goldcrestpond.wire.statement_kind import classify_statement

from .fuzz import NUMBERS, ON_A_RUNNING_SITE, ON_DECODERS, objects
from .site import connect_with_psycopg, run_fuel_site

MAX_LATENCY_S = 1.0
GAPS = st.sampled_from([" ", "  ", "\n", " " * 5000, ""])
PIECES = st.sampled_from(
    "select 1 insert into fuel_log values (1,'a',2) ( ) , ; ' '' \" $1 $2 $70000 ::int "
    "as x where id = limit count( sum( cast( /* */ -- begin read only commit rollback "
    "set show reset goldcrestpond.lane goldcrestpond.token = to 'aged' prepare copy "
    "returning * + - / % null true from order by".split()
)
STATEMENTS = st.lists(
    st.tuples(st.one_of(PIECES, NUMBERS, st.text(max_size=5)), GAPS), max_size=10
).map(lambda pairs: "".join(text + gap for text, gap in pairs))
NAMES = st.sampled_from(
    ["lane", "max_age_ms", "token", "request_id", "repeatable", "x"]
)


# Guards against: an unexpected exception of a parser on statements that a caller sent.
@ON_DECODERS
@given(STATEMENTS)
@example("select $" + "9" * 5000)
@example("select " + "f(" * 2000)
def test_proxy_and_stand_in_parse_or_reject_any_statement(text):
    classify_statement(text)
    try:
        for statement in split_statements(text):
            given_types = describe_parameters(statement, [], {}, {})
            describe_columns(statement, given_types, {}, {})
    except DatabaseError:
        pass


# Guards against: an unexpected exception on a session setting or token.
@ON_DECODERS
@given(NAMES, st.one_of(NUMBERS, st.text(max_size=12), st.just("x" * 5000)))
def test_declarations_and_tokens_are_parsed_or_rejected(name, value):
    for read in (
        lambda: Declarations().apply(PREFIX + name, value, "fuel"),
        lambda: parse_token(value),
    ):
        try:
            read()
        except CodedError:
            pass


BODY = ["name", "spec", "kind", "resourceVersion", "generation", "status", "more"]
SPEC = ["max_age_ms", "database", "group", "databases", "slot_limit", "user"]
RESOURCES = st.one_of(
    objects(BODY), objects(SPEC).map(lambda spec: b'{"name":"p","spec":' + spec + b"}")
)


# Guards against: an unexpected exception on the body of a resource.
@ON_DECODERS
@given(st.sampled_from(ChangeAction), st.sampled_from(Kind), RESOURCES)
@example(ChangeAction.CREATE, Kind.READ_POLICY, b'{"spec":' + b"[" * 3000)
def test_resource_bodies_are_parsed_or_rejected(action, kind, content):
    try:
        parse_change(action, kind, "", content)
    except ChangeError:
        pass


def _frame(kind, body):
    return kind + struct.pack("!I", len(body) + 4) + body


def _startup(options):
    values = b"user\0demo\0database\0fuel\0options\0" + options + b"\0\0"
    return struct.pack("!II", 8 + len(values), 196608) + values


KINDS = st.sampled_from([bytes([letter]) for letter in b"QPBDESHCFdcfpX\0"])
TEXT_FRAMES = STATEMENTS.map(lambda text: text.encode("utf-8", "replace") + b"\0")
BODIES = st.one_of(
    TEXT_FRAMES,
    st.binary(max_size=30),
    TEXT_FRAMES.map(lambda text: b"name\0" + text + b"\xff\xff"),
)
FRAMES = st.lists(st.builds(_frame, KINDS, BODIES), max_size=6)
CALLERS = st.tuples(STATEMENTS.map(lambda t: t.encode("utf-8", "replace")), FRAMES)


# Guards against: bytes from one caller that crash the proxy, block its event loop, or
# affect the session of another caller.
@ON_A_RUNNING_SITE
@given(st.lists(CALLERS, min_size=10, max_size=30))
def test_other_callers_are_served_whatever_one_caller_sends(callers):
    async def send(address, data):
        try:
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                await stream.send(data)
                with anyio.move_on_after(0.02):
                    while True:
                        await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass  # the proxy refused or closed the connection

    async def query_repeatedly(caller, latencies_s):
        while True:
            started = time.monotonic()
            cursor = await caller.execute("SELECT 7")
            latencies_s.append(time.monotonic() - started)
            assert_that([int(v) for (v,) in await cursor.fetchall()], Equals([7]))

    async def run():
        latencies_s = []
        with anyio.fail_after(60):
            async with (
                run_fuel_site(proxy_count=1) as site,
                await connect_with_psycopg(site) as caller,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(query_repeatedly, caller, latencies_s)
                for options, frames in callers:
                    options = options.replace(b"\0", b"")[:2000]
                    data = _startup(options) + b"".join(frames)
                    await send(site.proxies[0].address, data)
                tasks.cancel_scope.cancel()
        assert_that(max(latencies_s), LessThan(MAX_LATENCY_S))

    anyio.run(run)
