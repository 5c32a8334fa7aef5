"""Tests of ``goldcrestpond-ctl`` against an API over real sockets."""

import json
import threading
from contextlib import contextmanager
from datetime import timedelta

import anyio
import pytest
from anyio.from_thread import start_blocking_portal
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.api.resource_client import ResourceClient
from goldcrestpond.cli import ctl
from goldcrestpond.errors.exit_status import exit_status
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.standin.platform_standin import run_platform

from .api_fixture import CLOCK, GROUP_SPEC, LOOPBACK, run_api_on

# Short, so that requests with a lost answer are retried soon.
_PLATFORM_TIMEOUT = timedelta(milliseconds=300)


@contextmanager
def run_site():
    """Yield a platform stand-in and the URL of an API on it, run in another thread."""
    with start_blocking_portal() as portal:
        with portal.wrap_async_context_manager(
            run_platform(LOOPBACK, CLOCK)
        ) as standin:
            with portal.wrap_async_context_manager(
                run_api_on(standin, timeout=_PLATFORM_TIMEOUT)
            ) as client:
                yield standin, str(client.base_url)


@pytest.fixture
def site():
    """Return a platform stand-in and the URL of an API on it."""
    with run_site() as running_site:
        yield running_site


@pytest.fixture
def command(site, monkeypatch, capsys):
    """Return a function that runs one command.

    It returns exit status, standard output and standard error.
    """
    monkeypatch.setenv("GOLDCRESTPOND_SERVER", site[1])

    def run(*arguments):
        monkeypatch.setattr("sys.argv", ["goldcrestpond-ctl", *map(str, arguments)])
        status = 0
        try:
            ctl.main()
        except SystemExit as exit_error:
            status = exit_error.code
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return run


@pytest.fixture
def resources(tmp_path):
    """Return a file with a route, a policy and a group, not in the order to apply."""
    path = tmp_path / "resources.json"
    path.write_text(
        "// the fuel log\n"
        + json.dumps(
            [
                {
                    "kind": "Route",
                    "name": "fuel",
                    "spec": {"database": "fuel", "group": "g", "read_policy": "p"},
                },
                {"kind": "ReadPolicy", "name": "p", "spec": {"max_age_ms": 500}},
                {"kind": "DatabaseGroup", "name": "g", "spec": GROUP_SPEC},
            ]
        )
    )
    return path


def test_resources_are_applied_read_awaited_drained_and_deleted(command, resources):
    status, out, _ = command("apply", "-f", resources)
    assert_that(status, Equals(0))
    assert_that(out.splitlines(), HasLength(4))
    status, out, _ = command("wait", "Route", "fuel", "--for", "in-force")
    assert_that(status, Equals(0))
    assert_that(out, Contains("1/1"))
    status, out, _ = command("get", "Route", "fuel", "--output", "json")
    assert_that(json.loads(out)["spec"]["read_policy"], Equals("p"))
    assert_that(command("apply", "-f", resources)[0], Equals(0))
    assert_that(command("drain", "g", "a")[0], Equals(0))
    status, _, err = command("drain", "g", "b")
    assert_that(status, Equals(exit_status(ResultCode.CHANGE_REFUSED)))
    assert_that(err.count("GP404"), Equals(1))
    assert_that(command("delete", "DrainOrder", "g-a")[0], Equals(0))
    status, _, err = command("get", "DrainOrder", "g-a")
    assert_that(status, Equals(exit_status(ResultCode.RESOURCE_NOT_FOUND)))


def test_wait_exits_with_the_status_of_its_error(command):
    status, _, _ = command("wait", "Route", "none", "--for", "in-force")
    assert_that(status, Equals(exit_status(ResultCode.RESOURCE_NOT_FOUND)))
    status, _, err = command("wait", "Route", "none", "--for", "ever")
    assert_that(status, Equals(exit_status(ResultCode.RESOURCE_INVALID)))
    assert_that(err, Contains("in-force"))


@pytest.mark.parametrize("lost_count", [1, 3])
def test_apply_changes_once_despite_lost_answers_and_outage(
    site, command, resources, lost_count
):
    standin, _ = site
    standin.faults.lose_next_answers = lost_count
    standin.faults.down = True
    outage_end = threading.Timer(0.5, lambda: setattr(standin.faults, "down", False))
    outage_end.start()
    status, out, err = command("--timeout_ms", "20000", "apply", "-f", resources)
    outage_end.join()
    assert_that((status, err), Equals((0, "")))
    status, out, _ = command("get", "Route", "--output", "json")
    assert_that(json.loads(out)["generation"], Equals(1))


def test_unreachable_api_has_its_own_status_and_help_shows_usage(command):
    server = "http://127.0.0.1:9"
    status, _, err = command("--server", server, "--timeout_ms", 100, "get", "Route")
    assert_that(status, Equals(exit_status(ResultCode.API_UNREACHABLE)))
    assert_that(err, Contains("GP408"))
    overview = " ".join("".join(command("--help")[1:]).split())
    for usage in ("get KIND [NAME]", "apply -f FILE", "drain GROUP DATABASE"):
        assert_that(overview, Contains(usage))
    status, out, err = command("wait", "--help")
    assert_that(out + err, Contains("--for in-force"))


def test_watch_yields_existing_resources_first(site, command, resources):
    command("apply", "-f", resources)

    async def read_first(url):
        async with ResourceClient(url, "", CLOCK, CLOCK.now()) as client:
            return [line async for line in _take_lines(client.watch("Route"), 2)]

    kinds = [line["type"] for line in anyio.run(read_first, site[1])]
    assert_that(kinds, Equals(["put", "synced"]))


async def _take_lines(lines, count):
    async for line in lines:
        yield line
        count -= 1
        if count == 0:
            return
