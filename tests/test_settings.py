"""Settings files: comments, unknown keys, wrong types, bad addresses."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.cli.proxy import proxy
from goldcrestpond.cli.run_program import run_commands
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.exit_status import exit_status
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.settings.address import parse_address
from goldcrestpond.settings.load import load_settings


class Sample(msgspec.Struct, forbid_unknown_fields=True):
    """A small settings class."""

    name: str
    limit: int = 3


@pytest.fixture
def write(tmp_path):
    def write_text(text):
        path = tmp_path / "s.json"
        path.write_text(text)
        return str(path)

    return write_text


def test_comments_are_accepted(write):
    path = write('{"name": "a", // why\n "limit": 4}')
    assert_that(load_settings(path, Sample), Equals(Sample("a", 4)))


@pytest.mark.parametrize(
    "text,word", [('{"nam": 1}', "nam"), ('{"name": 1}', "name"), ('{"name"', "s.json")]
)
def test_error_names_file_and_key(write, text, word):
    with pytest.raises(CodedError) as caught:
        load_settings(write(text), Sample)
    assert_that(str(caught.value), Contains(word))
    assert_that(str(caught.value), Contains("s.json"))


@given(st.text(max_size=30))
def test_any_text_is_an_address_or_a_coded_error(text):
    try:
        address = parse_address(text)
    except CodedError as error:
        assert_that(error.code, Equals(ResultCode.SETTINGS_INVALID))
    else:
        assert_that(parse_address(str(address)), Equals(address))


@pytest.mark.parametrize(
    "key,value",
    [
        ("listen", '"nohost:1"'),
        ("platform", '"127.0.0.1"'),
        ("peer_seeds", '["127.0.0.1:1", "x"]'),
        ("statsd", '"127.0.0.1:99999"'),
        ("users", '{"pump": "plain"}'),
        ("lissten", '"127.0.0.1:1"'),
    ],
)
def test_proxy_refuses_invalid_settings_with_file_key_and_code(
    write, capsys, key, value
):
    texts = {"instance": '"a"', "listen": '"127.0.0.1:1"', "platform": '"127.0.0.1:2"'}
    texts[key] = value
    body = ", ".join(f'"{name}": {text}' for name, text in texts.items())
    path = write("{" + body + "}")
    with pytest.raises(SystemExit) as caught:
        run_commands(lambda: proxy(path, check=True))
    assert_that(caught.value.code, Equals(exit_status(ResultCode.SETTINGS_INVALID)))
    message = capsys.readouterr().err
    for word in ("GP602", path, key):
        assert_that(message, Contains(word))
