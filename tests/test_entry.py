"""Password authentication and TLS for callers, and authentication to endpoints."""

import ssl
import struct
from pathlib import Path

import anyio
import asyncpg
import psycopg
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.endpoint.scram_client import ScramClientLogin
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.frames.frame import Frame
from goldcrestpond.root.caller_access import make_caller_access
from goldcrestpond.settings.proxy_settings import ProxySettings
from goldcrestpond.wire.scram_verifier import make_verifier, parse_verifier

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

PASSWORD = "pump-7"
CERTIFICATE_FILE = Path(__file__).parent / "data" / "loopback.pem"


@pytest.fixture
async def site():
    async with run_fuel_site(
        proxy_count=1, users={"demo": str(make_verifier(PASSWORD))}
    ) as running:
        yield running


@pytest.mark.anyio
async def test_drivers_authenticate_with_a_password(site):
    async with await connect_with_psycopg(site, password=PASSWORD) as caller:
        await caller.execute("SELECT 1")
    caller = await connect_with_asyncpg(site, password=PASSWORD)
    assert_that(int(await caller.fetchval("SELECT 2")), Equals(2))
    await caller.close()


@pytest.mark.anyio
@pytest.mark.parametrize("user,password", [("demo", "wrong"), ("nobody", PASSWORD)])
async def test_wrong_password_and_unknown_user_get_the_same_error(site, user, password):
    with pytest.raises(asyncpg.InvalidPasswordError) as caught:
        await connect_with_asyncpg(site, user=user, password=password)
    assert_that(str(caught.value), Contains("GP105"))


@pytest.mark.anyio
async def test_proxy_authenticates_to_endpoints_with_a_password():
    async with run_fuel_site(proxy_count=1, endpoint_password="tank") as site:
        async with await connect_with_psycopg(site) as caller:
            await caller.execute("SELECT 1")


@pytest.mark.anyio
async def test_missing_password_is_refused(site):
    with pytest.raises(psycopg.OperationalError):
        await connect_with_psycopg(site)


@pytest.fixture
async def encrypted_site():
    async with run_fuel_site(
        proxy_count=1, tls_certificate_file=str(CERTIFICATE_FILE)
    ) as running:
        yield running


@pytest.mark.anyio
async def test_drivers_are_served_over_tls(encrypted_site):
    context = ssl.create_default_context(cafile=str(CERTIFICATE_FILE))
    caller = await connect_with_asyncpg(encrypted_site, ssl=context)
    rows = await caller.fetch("SELECT 1 UNION ALL SELECT 2")
    assert_that(len(rows), Equals(2))
    await caller.close()
    values = {"sslmode": "verify-full", "sslrootcert": str(CERTIFICATE_FILE)}
    async with await connect_with_psycopg(encrypted_site, **values) as caller:
        await caller.execute("SELECT 1")
        assert_that(caller.pgconn.ssl_in_use, Equals(True))


@pytest.mark.anyio
async def test_bytes_sent_before_the_tls_handshake_are_not_served(encrypted_site):
    plaintext = struct.pack("!II", 8, 80877103) + struct.pack("!II", 33, 196608)
    address = encrypted_site.proxies[0].address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(plaintext + b"user\0demo\0database\0fuel\0\0")
        answer = b""
        with anyio.fail_after(5):
            while b := await receive_or_end(stream):
                answer += b
    assert_that(answer.startswith(b"S"), Equals(True))
    assert_that(b"server_version" in answer, Equals(False))


async def receive_or_end(stream):
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


@given(st.text(max_size=60))
def test_any_text_is_parsed_as_a_verifier_or_gives_a_coded_error(text):
    try:
        parse_verifier(text)
    except CodedError as error:
        assert_that(error.code, Equals(ResultCode.SETTINGS_INVALID))


def test_formatted_verifier_parses_to_the_same_verifier():
    verifier = make_verifier(PASSWORD)
    assert_that(parse_verifier(str(verifier)), Equals(verifier))


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "10.0.0.1:6432"},
        {"users": {"demo": "plain"}},
        {"requires_tls": True},
        {"tls_certificate_file": "missing.pem"},
    ],
)
def test_settings_that_admit_unauthenticated_or_unencrypted_callers_are_refused(
    changes,
):
    values = {"instance": "a", "listen": "127.0.0.1:0", "platform": "127.0.0.1:1"}
    with pytest.raises(CodedError) as caught:
        make_caller_access(ProxySettings(**(values | changes)))
    assert_that(caught.value.code, Equals(ResultCode.SETTINGS_INVALID))


def test_callers_are_not_authenticated_with_trust_callers():
    settings = ProxySettings(
        instance="a", listen="10.0.0.1:1", platform="10.0.0.2:1", trust_callers=True
    )
    assert_that(make_caller_access(settings).find_verifier("any"), Equals(None))


def authentication_frame(code, data=b""):
    body = code.to_bytes(4, "big") + data
    return Frame(ord("R"), b"R" + (len(body) + 4).to_bytes(4, "big") + body)


@pytest.mark.parametrize(
    "frames",
    [
        [authentication_frame(3)],
        [authentication_frame(10, b"SCRAM-SHA-256\0\0"), authentication_frame(0)],
        [
            authentication_frame(10, b"SCRAM-SHA-256\0\0"),
            authentication_frame(11, b"r=x,s=eA==,i=1"),
        ],
        [authentication_frame(11, b"")],
    ],
)
def test_endpoint_that_skips_a_step_of_the_login_is_refused(frames):
    login = ScramClientLogin("proxy", PASSWORD)
    with pytest.raises(CodedError):
        for frame in frames:
            login.answer(frame)
